package org.troutpier.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.troutpier.common.declaration.DeclarationPart;
import org.troutpier.common.http.Json;

/** Compares declarations in files with the active ones. Stateless and thread safe. */
final class DeclarationDiff {

    private DeclarationDiff() {}

    /**
     * Lists the differences, one line each.
     *
     * @return lines that begin with {@code +}, {@code -} or {@code ~}
     */
    static List<String> between(DeclarationPart wanted, JsonNode inForce) {
        JsonNode files = Json.mapper().valueToTree(wanted);
        List<String> lines = new ArrayList<>();
        if (!wanted.partners().isEmpty()) {
            compare(
                    "partner",
                    byName(files.path("partners")),
                    byName(inForce.path("partners")),
                    lines);
        }
        compare(
                "upstream",
                byName(files.path("upstreams")),
                byName(inForce.path("upstreams")),
                lines);
        compare("class", byName(files.path("classes")), byName(inForce.path("classes")), lines);
        return lines;
    }

    private static Map<String, JsonNode> byName(JsonNode things) {
        Map<String, JsonNode> byName = new TreeMap<>();
        for (JsonNode thing : things) {
            String name = thing.path("id").asText(thing.path("name").asText());
            byName.put(name, thing);
        }
        return byName;
    }

    /**
     * Compares the entries of one kind.
     *
     * @param lines where the differences go
     */
    private static void compare(
            String kind,
            Map<String, JsonNode> wanted,
            Map<String, JsonNode> inForce,
            List<String> lines) {
        TreeSet<String> names = new TreeSet<>(wanted.keySet());
        names.addAll(inForce.keySet());
        for (String name : names) {
            if (!inForce.containsKey(name)) {
                lines.add("+ " + kind + " " + name);
            } else if (!wanted.containsKey(name)) {
                lines.add("- " + kind + " " + name);
            } else {
                fields(kind + " " + name, wanted.get(name), inForce.get(name), lines);
            }
        }
    }

    /**
     * Compares the fields of one entry.
     *
     * @param lines where the differences go
     */
    private static void fields(
            String thing, JsonNode wanted, JsonNode inForce, List<String> lines) {
        ObjectNode object = (ObjectNode) wanted;
        object.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!object.get(field).equals(inForce.path(field))) {
                                lines.add(
                                        "~ "
                                                + thing
                                                + " "
                                                + field
                                                + ": "
                                                + inForce.path(field)
                                                + " -> "
                                                + object.get(field));
                            }
                        });
    }
}
