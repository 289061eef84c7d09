/**
 * Admission, queueing and role decisions under load: how long a request may wait for engine memory,
 * when a refused caller should retry, how much memory stays free for growing runs, and which
 * engines run prefill or decode. Classes here use neither the network nor any clock other than the
 * time passed in.
 */
package org.troutpier.daemon.decision;
