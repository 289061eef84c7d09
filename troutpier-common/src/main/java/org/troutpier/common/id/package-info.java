/** Value types for identifiers that are exchanged between processes. */
package org.troutpier.common.id;
