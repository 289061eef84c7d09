package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats text output. Stateless and thread safe. */
final class TextTable {

    private TextTable() {}

    /**
     * Formats rows as a table.
     *
     * @return the lines
     */
    static List<String> format(JsonNode reply) {
        List<String> columns = new ArrayList<>();
        reply.path("columns").forEach(column -> columns.add(column.asText()));
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns.stream().map(name -> name.toUpperCase(Locale.ROOT)).toList());
        for (JsonNode row : reply.path("rows")) {
            lines.add(columns.stream().map(column -> row.path(column).asText("")).toList());
        }
        int[] widths = new int[columns.size()];
        for (List<String> line : lines) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], line.get(column).length());
            }
        }
        return lines.stream().map(line -> padCells(line, widths)).toList();
    }

    /**
     * Pads the cells of a line.
     *
     * @param widths how wide each column is
     * @return the line
     */
    private static String padCells(List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            line.append(cells.get(column));
            line.append(" ".repeat(widths[column] - cells.get(column).length() + 2));
        }
        return line.toString().stripTrailing();
    }
}
