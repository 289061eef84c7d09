package org.troutpier.common.result;

/**
 * The one exception of this project: it carries a {@link ResultCode} and a detail that names the
 * offending value. Immutable and thread safe.
 */
public class TroutpierException extends RuntimeException {

    /** Serial version, as every throwable has one. */
    private static final long serialVersionUID = 1L;

    /** Which way the work ended. */
    private final ResultCode mCode;

    /** What exactly was wrong. */
    private final String mDetail;

    /**
     * Creates an exception.
     *
     * @param code which way the work ended
     * @param detail what exactly was wrong
     */
    public TroutpierException(ResultCode code, String detail) {
        super(code.label() + " " + detail);
        mCode = code;
        mDetail = detail;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code which way the work ended
     * @param detail what exactly was wrong
     * @param cause what brought it about
     */
    public TroutpierException(ResultCode code, String detail, Throwable cause) {
        super(code.label() + " " + detail, cause);
        mCode = code;
        mDetail = detail;
    }

    /**
     * Returns the code.
     *
     * @return the code
     */
    public ResultCode code() {
        return mCode;
    }

    /**
     * Returns the detail without the code.
     *
     * @return what exactly was wrong
     */
    public String detail() {
        return mDetail;
    }
}
