package org.troutpier.common.http;

/**
 * Thrown when a request got no complete response; tells whether any byte of the request may have
 * been sent. Immutable and thread safe.
 */
public final class CallFailedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Whether any byte of the request may have been sent. */
    private final boolean mSent;

    /**
     * Creates an exception.
     *
     * @param sent whether any byte of the request may have been sent
     */
    public CallFailedException(boolean sent, Throwable cause) {
        super(String.valueOf(cause), cause);
        mSent = sent;
    }

    /**
     * Returns whether any byte of the request may have been sent.
     *
     * @return false only when that is certain
     */
    public boolean mayHaveBeenSent() {
        return mSent;
    }
}
