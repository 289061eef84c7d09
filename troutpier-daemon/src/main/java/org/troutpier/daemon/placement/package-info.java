/** Placement of requests: selection of a prefill and a decode engine. */
package org.troutpier.daemon.placement;
