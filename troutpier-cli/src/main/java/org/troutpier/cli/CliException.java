package org.troutpier.cli;

/** Ends a command with an exit code and one line for people. Immutable and thread safe. */
final class CliException extends RuntimeException {

    /** Serial version, as every throwable has one. */
    private static final long serialVersionUID = 1L;

    /** The exit code. */
    private final ExitCode mExitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code
     * @param message one line for people
     */
    CliException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return the exit code
     */
    ExitCode exitCode() {
        return mExitCode;
    }
}
