package org.troutpier.cli;

import org.troutpier.common.result.ResultCode;

/** Exit codes of the tool. Immutable and thread safe. */
enum ExitCode {
    /** Success; a change is active on all routers. */
    DONE(0),
    /** Refused: nothing was changed. */
    REFUSED(1),
    /** The arguments or the files are invalid. */
    WRONG_INPUT(2),
    /** The outcome is unknown, or the change is not yet active on all routers. */
    UNKNOWN(3),
    /** No router was reached. */
    UNREACHED(4),
    /** There are differences. */
    DIFFERS(5);

    private final int mNumber;

    /** Creates an exit code. */
    ExitCode(int number) {
        mNumber = number;
    }

    /** Returns the number. */
    int number() {
        return mNumber;
    }

    /** Returns the exit code for the family of a router's result code, as it is on the wire. */
    static ExitCode of(String family) {
        return ResultCode.Family.NOT_RUN.label().equals(family) ? REFUSED : UNKNOWN;
    }
}
