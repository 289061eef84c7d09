/** The other routers: connections, messages and membership. */
package org.troutpier.daemon.peer;
