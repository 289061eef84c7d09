/** Clients of model engines: prefill, decode, cancellation and polling. */
package org.troutpier.daemon.upstream;
