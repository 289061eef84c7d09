package org.troutpier.daemon.rows;

/** Says why a read of the table service failed. Immutable and thread safe. */
public final class RowStoreException extends RuntimeException {

    /** Serial version, as every throwable has one. */
    private static final long serialVersionUID = 1L;

    /** Why the read failed. */
    private final Reason mReason;

    /** Why a read failed. */
    public enum Reason {
        /** The history that a feed asked for is no longer kept. */
        HISTORY_GONE,
        /** The service answered that it is overloaded or away. */
        REFUSED,
        /** No answer came. */
        SILENT
    }

    /**
     * Creates an exception.
     *
     * @param reason why the read failed
     * @param detail what exactly happened
     */
    public RowStoreException(Reason reason, String detail) {
        super(reason + ": " + detail);
        mReason = reason;
    }

    /**
     * Returns why the read failed.
     *
     * @return the reason
     */
    public Reason reason() {
        return mReason;
    }
}
