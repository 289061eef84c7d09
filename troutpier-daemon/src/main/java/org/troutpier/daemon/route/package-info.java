/** Routes by host and path, the services behind them, and versions of the routing configuration. */
package org.troutpier.daemon.route;
