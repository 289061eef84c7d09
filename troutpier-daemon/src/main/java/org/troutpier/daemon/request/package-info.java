/** Handling of requests, from arrival to the answer or refusal. */
package org.troutpier.daemon.request;
