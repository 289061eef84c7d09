/** The handling of a request, from arrival to its one answer. */
package org.troutpier.daemon.request;
