/** The callers: reading, checking and classifying what they send. */
package org.troutpier.daemon.caller;
