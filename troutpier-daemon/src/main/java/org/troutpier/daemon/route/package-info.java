/** Routes by host and path, the services behind them, and the versions of both. */
package org.troutpier.daemon.route;
