package org.amaranthpick.tools;

/** Ends a command with a message for the operator and an exit code. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int mExitCode;

    /**
     * Creates the exception.
     *
     * @param exitCode exit code, see {@link ExitCode}
     * @param message fault and remedy
     */
    public CommandException(int exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return see {@link ExitCode}
     */
    public int exitCode() {
        return mExitCode;
    }
}
