package org.troutpier.common.settings;

/** Thrown when a field of a record under construction is invalid. Immutable and thread safe. */
public final class FieldException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /** The field's name within its record. */
    private final String mField;

    /**
     * Creates an exception.
     *
     * @param field the field's name within its record
     */
    public FieldException(String field, String message) {
        super(message);
        mField = field;
    }

    /** Returns the field's name within its record. */
    public String field() {
        return mField;
    }
}
