package org.amaranthpick.tools;

/** Exit codes of the program. */
public final class ExitCode {
    /** The command did what was asked. */
    public static final int OK = 0;

    /** The manifest is faulty or the change was refused; nothing was changed. */
    public static final int REFUSED = 1;

    /** The command line or the settings are wrong. */
    public static final int USAGE = 2;

    /** A daemon or the store could not be reached; nothing was changed. */
    public static final int UNREACHABLE = 3;

    /** The answer was lost; the change may have taken effect. */
    public static final int UNKNOWN = 4;

    /** The change is accepted and not yet in force on every daemon. */
    public static final int NOT_IN_FORCE = 5;

    private ExitCode() {}
}
