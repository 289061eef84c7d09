/** Notices about an upstream's state that its responses carry in their headers. */
package org.troutpier.daemon.notice;
