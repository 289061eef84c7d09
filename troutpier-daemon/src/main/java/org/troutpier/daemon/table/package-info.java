/** The platform's table service, where hard facts are kept. */
package org.troutpier.daemon.table;
