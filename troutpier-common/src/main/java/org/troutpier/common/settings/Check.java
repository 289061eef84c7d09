package org.troutpier.common.settings;

/** Validation of fields in compact constructors. Stateless and thread safe. */
public final class Check {

    private Check() {}

    /**
     * Checks that a number lies in a range.
     *
     * @param min the least allowed
     * @param max the greatest allowed
     * @return the number
     */
    public static long range(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new FieldException(
                    field, "must be from " + min + " to " + max + " but is " + value);
        }
        return value;
    }

    /**
     * Checks that a value is not null.
     *
     * @param <T> the value's type
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
     * @param holds whether the condition holds
     * @param message the error message if it does not
     */
    public static void that(String field, boolean holds, String message) {
        if (!holds) {
            throw new FieldException(field, message);
        }
    }
}
