package org.troutpier.common.settings;

/** Range checks for compact constructors. Stateless and thread safe. */
public final class Check {

    /** Not to be instantiated. */
    private Check() {}

    /**
     * Checks that a number lies in a range.
     *
     * @param field the field's name, for the message
     * @param value the number
     * @param least the least allowed
     * @param most the most allowed
     * @return the number
     */
    public static long range(String field, long value, long least, long most) {
        if (value < least || value > most) {
            throw new FieldException(
                    field, "must be from " + least + " to " + most + " but is " + value);
        }
        return value;
    }

    /**
     * Checks that a value is there.
     *
     * @param field the field's name, for the message
     * @param value the value
     * @param <T> the value's type
     * @return the value
     */
    public static <T> T present(String field, T value) {
        if (value == null) {
            throw new FieldException(field, "is missing");
        }
        return value;
    }

    /**
     * Checks any other condition on a field.
     *
     * @param field the field's name
     * @param holds whether the condition holds
     * @param message what is wrong when it does not
     */
    public static void that(String field, boolean holds, String message) {
        if (!holds) {
            throw new FieldException(field, message);
        }
    }
}
