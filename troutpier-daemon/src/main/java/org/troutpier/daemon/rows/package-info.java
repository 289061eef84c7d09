/**
 * Access to the platform's table of versioned rows: conditional writes, change feed, and followers
 * of a table.
 */
package org.troutpier.daemon.rows;
