package org.troutpier.daemon.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * Rows that are shown to an operator, and how they are filtered and ordered. Immutable and thread
 * safe.
 *
 * @param columns the names of the columns, in order
 * @param rows the rows; each has a value for every column
 */
record ResultTable(List<String> columns, List<Map<String, String>> rows) {

    /**
     * A condition on a column.
     *
     * @param column the column
     * @param operator {@code =}, {@code !=}, {@code <} or {@code >}
     * @param value what to compare with
     */
    record Condition(String column, String operator, String value) {

        /**
         * Returns whether a row meets the condition.
         *
         * @param row the row
         * @return whether it does
         */
        boolean met(Map<String, String> row) {
            int order = compare(row.get(column), value);
            return switch (operator) {
                case "=" -> order == 0;
                case "!=" -> order != 0;
                case "<" -> order < 0;
                default -> order > 0;
            };
        }
    }

    /**
     * Keeps the rows that meet all conditions.
     *
     * @param conditions the conditions
     * @return new rows
     */
    ResultTable where(List<Condition> conditions) {
        conditions.forEach(condition -> requireColumn(condition.column()));
        return new ResultTable(
                columns,
                rows.stream()
                        .filter(row -> conditions.stream().allMatch(one -> one.met(row)))
                        .toList());
    }

    /**
     * Orders the rows.
     *
     * @param column the column to go by
     * @param descending whether the largest comes first
     * @return new rows
     */
    ResultTable orderedBy(String column, boolean descending) {
        requireColumn(column);
        Comparator<Map<String, String>> order = (a, b) -> compare(a.get(column), b.get(column));
        List<Map<String, String>> ordered = new ArrayList<>(rows);
        ordered.sort(descending ? order.reversed() : order);
        return new ResultTable(columns, ordered);
    }

    /**
     * Keeps the first rows.
     *
     * @param most how many
     * @return new rows
     */
    ResultTable limited(int most) {
        return new ResultTable(columns, rows.stream().limit(most).toList());
    }

    /**
     * Checks that a column is there.
     *
     * @param column the column
     */
    private void requireColumn(String column) {
        if (!columns.contains(column)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    "there is no column " + column + "; there are " + columns);
        }
    }

    /**
     * Compares two values: as numbers where both are, else as texts.
     *
     * @param a one value
     * @param b the other
     * @return less than, equal to or more than 0
     */
    private static int compare(String a, String b) {
        try {
            return Double.compare(Double.parseDouble(a), Double.parseDouble(b));
        } catch (NumberFormatException exception) {
            return a.compareTo(b);
        }
    }
}
