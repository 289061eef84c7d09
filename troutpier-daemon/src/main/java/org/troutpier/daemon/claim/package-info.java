/** Claims on requests with idempotency keys: which router runs a request, and its outcome. */
package org.troutpier.daemon.claim;
