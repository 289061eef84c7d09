/** Connections, messages and membership among routers. */
package org.troutpier.daemon.peer;
