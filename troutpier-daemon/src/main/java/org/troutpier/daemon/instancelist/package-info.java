/** The platform's lagging list of live and leaving instances. */
package org.troutpier.daemon.instancelist;
