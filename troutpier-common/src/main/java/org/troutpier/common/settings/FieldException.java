package org.troutpier.common.settings;

/** Says which field of the record under construction is wrong. Immutable and thread safe. */
public final class FieldException extends IllegalArgumentException {

    /** Serial version, as every throwable has one. */
    private static final long serialVersionUID = 1L;

    /** The field's name within its record. */
    private final String mField;

    /**
     * Creates an exception.
     *
     * @param field the field's name within its record
     * @param message what is wrong with it
     */
    public FieldException(String field, String message) {
        super(message);
        mField = field;
    }

    /**
     * Returns the field's name within its record.
     *
     * @return the field
     */
    public String field() {
        return mField;
    }
}
