/** Fault injection: faults of stand-ins and of network links, controlled over HTTP. */
package org.troutpier.standins.fault;
