/** Validation and classification of the requests of callers. */
package org.troutpier.daemon.caller;
