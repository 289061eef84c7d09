package org.troutpier.cli;

/** Ends a command with an exit code and an error message. Immutable and thread safe. */
final class CliException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ExitCode mExitCode;

    /**
     * Creates an exception.
     *
     * @param message the error message, one line
     */
    CliException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    /** Returns the exit code. */
    ExitCode exitCode() {
        return mExitCode;
    }
}
