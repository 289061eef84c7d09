/** The port to a table of rows with conditional writes and a change feed. */
package org.troutpier.daemon.rows;
