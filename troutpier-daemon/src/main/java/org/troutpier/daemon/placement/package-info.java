/** Where a request runs: the choice of a prefill and a decode engine. */
package org.troutpier.daemon.placement;
