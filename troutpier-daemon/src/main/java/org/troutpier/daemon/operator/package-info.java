/** The operators: health, counters, events, declarations and queries. */
package org.troutpier.daemon.operator;
