/** The platform's table service, which holds the state that all routers must agree on. */
package org.troutpier.daemon.table;
