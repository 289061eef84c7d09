/** Value types for the identifiers that travel between processes. */
package org.troutpier.common.id;
