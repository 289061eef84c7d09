package org.troutpier.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** Sets one field of a request class by its name. Stateless and thread safe. */
final class ClassFieldEditor {

    private ClassFieldEditor() {}

    /**
     * Returns a copy of a class with one field changed and validated.
     *
     * @param declared the class
     * @param field the field's name in YAML
     * @param value the new value
     * @return the changed class
     */
    static ClassDeclaration with(ClassDeclaration declared, String field, String value) {
        ObjectNode node = Json.mapper().valueToTree(declared);
        boolean immutable = field.equals("name") || field.equals("partner");
        if (immutable || !node.has(field)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "a class has no field " + field + " to set");
        }
        try {
            node.set(field, Json.mapper().readTree(toJson(value)));
            return Json.mapper().treeToValue(node, ClassDeclaration.class);
        } catch (JsonProcessingException exception) {
            throw new TroutpierException(
                    ResultCode.INVALID_DECLARATION,
                    field + ": " + exception.getOriginalMessage(),
                    exception);
        }
    }

    /** Converts a value to JSON: numbers and booleans as they are, the rest as a string. */
    private static String toJson(String value) {
        boolean unquoted = value.matches("[0-9]+|true|false");
        return unquoted ? value : "\"" + value + "\"";
    }
}
