package org.troutpier.daemon.cluster;

import java.util.List;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * Changes of a table that one router read for the others of its hall. Immutable by agreement: the
 * rows' values are not changed.
 *
 * @param table the table
 * @param after the version after which the changes came
 * @param version the newest version that they reflect
 * @param unbrokenMillis for how long the sender has read the table without a break, milliseconds
 * @param rows the changed rows; may be empty
 */
public record SharedPage(
        String table, long after, long version, long unbrokenMillis, List<Row> rows) {}
