package org.troutpier.common.result;

/**
 * An exception with a {@link ResultCode} and a detail that names the offending value. Immutable and
 * thread safe.
 */
public class TroutpierException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;

    private final String mDetail;

    /** Creates an exception. */
    public TroutpierException(ResultCode code, String detail) {
        super(code.label() + " " + detail);
        mCode = code;
        mDetail = detail;
    }

    /** Creates an exception with a cause. */
    public TroutpierException(ResultCode code, String detail, Throwable cause) {
        super(code.label() + " " + detail, cause);
        mCode = code;
        mDetail = detail;
    }

    /** Returns the code. */
    public ResultCode code() {
        return mCode;
    }

    /** Returns the detail without the code. */
    public String detail() {
        return mDetail;
    }
}
