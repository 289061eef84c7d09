package org.troutpier.daemon.rows;

import java.util.List;
import org.troutpier.daemon.rows.RowStore.Row;

/**
 * A table as one router knows it and tells it to another that the store does not answer. Immutable
 * by agreement: the rows' values are not changed.
 *
 * @param version the version at which the table was so
 * @param ageMillis how long ago the store said so, milliseconds
 * @param unbrokenMillis for how long until then it had been read without a break, milliseconds
 * @param whole whether the rows are told; otherwise nothing has changed since the version that the
 *     other knows
 * @param rows all rows, or none where they are not told
 */
public record TableState(
        long version, long ageMillis, long unbrokenMillis, boolean whole, List<Row> rows) {}
