package org.troutpier.daemon.rows;

import java.util.List;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * State of a table, as one router sends it to another that the store does not answer. Immutable by
 * convention: the values of the rows must not be modified.
 *
 * @param version the version of the table
 * @param ageMillis time since the store confirmed this state, milliseconds
 * @param unbrokenMillis time until then for which the table had been followed without interruption,
 *     milliseconds
 * @param whole whether the rows are included; otherwise nothing has changed since the version that
 *     the receiver has
 * @param rows all rows; empty if they are not included
 */
public record TableState(
        long version, long ageMillis, long unbrokenMillis, boolean whole, List<Row> rows) {}
