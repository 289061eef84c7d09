package org.troutpier.daemon.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/**
 * The rows of a query's result, with filtering and sorting. Immutable and thread safe.
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
     * @param value the value to compare with
     */
    record Condition(String column, String operator, String value) {

        /** Returns whether a row meets the condition. */
        boolean isMetBy(Map<String, String> row) {
            int order = compare(row.get(column), value);
            return switch (operator) {
                case "=" -> order == 0;
                case "!=" -> order != 0;
                case "<" -> order < 0;
                default -> order > 0;
            };
        }
    }

    /** Returns the rows that meet all conditions. */
    ResultTable where(List<Condition> conditions) {
        conditions.forEach(condition -> requireColumn(condition.column()));
        return new ResultTable(
                columns,
                rows.stream()
                        .filter(row -> conditions.stream().allMatch(one -> one.isMetBy(row)))
                        .toList());
    }

    /** Returns the rows sorted by a column. */
    ResultTable orderedBy(String column, boolean descending) {
        requireColumn(column);
        Comparator<Map<String, String>> order = (a, b) -> compare(a.get(column), b.get(column));
        List<Map<String, String>> ordered = new ArrayList<>(rows);
        ordered.sort(descending ? order.reversed() : order);
        return new ResultTable(columns, ordered);
    }

    /** Returns the first rows. */
    ResultTable limit(int count) {
        return new ResultTable(columns, rows.stream().limit(count).toList());
    }

    private void requireColumn(String column) {
        if (!columns.contains(column)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST,
                    "there is no column " + column + "; there are " + columns);
        }
    }

    /** Compares two values as numbers if both are numbers, else as strings. */
    private static int compare(String a, String b) {
        try {
            return Double.compare(Double.parseDouble(a), Double.parseDouble(b));
        } catch (NumberFormatException exception) {
            return a.compareTo(b);
        }
    }
}
