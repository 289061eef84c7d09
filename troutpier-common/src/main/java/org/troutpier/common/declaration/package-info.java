/** Declarations of partners, upstreams and request classes, as one versioned set. */
package org.troutpier.common.declaration;
