/** What the partners declare: partners, upstreams and request classes, as one versioned whole. */
package org.troutpier.common.declaration;
