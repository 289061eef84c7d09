package org.troutpier.common.http;

/**
 * Says that a request got no whole answer, and whether any byte of it may have left. Immutable and
 * thread safe.
 */
public final class CallFailedException extends RuntimeException {

    /** Serial version, as every throwable has one. */
    private static final long serialVersionUID = 1L;

    /** Whether any byte may have left. */
    private final boolean mSent;

    /**
     * Creates an exception.
     *
     * @param sent whether any byte may have left
     * @param cause what went wrong
     */
    public CallFailedException(boolean sent, Throwable cause) {
        super(String.valueOf(cause), cause);
        mSent = sent;
    }

    /**
     * Returns whether any byte of the request may have left this process.
     *
     * @return false only when that is certain
     */
    public boolean mayHaveBeenSent() {
        return mSent;
    }
}
