package org.troutpier.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.troutpier.common.declaration.ClassDeclaration;
import org.troutpier.common.http.Json;
import org.troutpier.common.result.ResultCode;
import org.troutpier.common.result.TroutpierException;

/** Changes one field of a class by its name. Stateless and thread safe. */
final class ClassFieldEditor {

    /** Not to be instantiated. */
    private ClassFieldEditor() {}

    /**
     * Returns a class with one field changed; every check of the declaration applies.
     *
     * @param declared the class
     * @param field the field as it is written in YAML
     * @param value its new value
     * @return a new declaration
     */
    static ClassDeclaration with(ClassDeclaration declared, String field, String value) {
        ObjectNode node = Json.mapper().valueToTree(declared);
        boolean fixed = field.equals("name") || field.equals("partner");
        if (fixed || !node.has(field)) {
            throw new TroutpierException(
                    ResultCode.MALFORMED_REQUEST, "a class has no field " + field + " to set");
        }
        try {
            node.set(field, Json.mapper().readTree(literal(value)));
            return Json.mapper().treeToValue(node, ClassDeclaration.class);
        } catch (JsonProcessingException exception) {
            throw new TroutpierException(
                    ResultCode.INVALID_DECLARATION,
                    field + ": " + exception.getOriginalMessage(),
                    exception);
        }
    }

    /**
     * Writes a value as JSON: numbers and truth values as they are, the rest as text.
     *
     * @param value the value
     * @return its JSON
     */
    private static String literal(String value) {
        boolean bare = value.matches("[0-9]+|true|false");
        return bare ? value : "\"" + value + "\"";
    }
}
