package org.troutpier.daemon.rows;

/** Reports why a read from the table service failed. Immutable and thread safe. */
public final class RowStoreException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Reason mReason;

    /** Reason for a failed read. */
    public enum Reason {
        /** The service no longer keeps the requested part of the change feed. */
        HISTORY_GONE,
        /** The service answered that it is overloaded or unavailable. */
        REFUSED,
        /** The service did not answer. */
        SILENT
    }

    /**
     * Creates an exception.
     *
     * @param reason why the read failed
     * @param detail what happened
     */
    public RowStoreException(Reason reason, String detail) {
        super(reason + ": " + detail);
        mReason = reason;
    }

    /** Returns why the read failed. */
    public Reason reason() {
        return mReason;
    }
}
