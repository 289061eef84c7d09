package org.troutpier.cli;

import org.troutpier.common.result.ResultCode;

/** What the tool's exit codes mean. Immutable and thread safe. */
enum ExitCode {
    /** Done; a change is in force everywhere. */
    DONE(0),
    /** Refused: nothing was changed. */
    REFUSED(1),
    /** The words or the files are wrong. */
    WRONG_INPUT(2),
    /** It is not known, or not yet everywhere. */
    UNKNOWN(3),
    /** No router was reached. */
    UNREACHED(4),
    /** There are differences. */
    DIFFERS(5);

    /** The number. */
    private final int mNumber;

    /**
     * Creates an exit code.
     *
     * @param number the number
     */
    ExitCode(int number) {
        mNumber = number;
    }

    /**
     * Returns the number.
     *
     * @return the number
     */
    int number() {
        return mNumber;
    }

    /**
     * Returns the exit code for a router's result code.
     *
     * @param family what is known of the work, as on the wire
     * @return the exit code
     */
    static ExitCode of(String family) {
        return ResultCode.Family.NOT_RUN.label().equals(family) ? REFUSED : UNKNOWN;
    }
}
