package org.troutpier.daemon.cluster;

import java.util.List;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * Changes of a table that one router read for the others of its hall. Immutable by convention: the
 * values of the rows must not be modified.
 *
 * @param table the table
 * @param after the version after which the changes came
 * @param version the newest version that they reflect
 * @param unbrokenMillis time for which the sender has read the table without a gap, milliseconds
 * @param rows the changed rows; may be empty
 */
public record SharedPage(
        String table, long after, long version, long unbrokenMillis, List<Row> rows) {}
