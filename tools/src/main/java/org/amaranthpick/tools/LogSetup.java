package org.amaranthpick.tools;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Log format of the program: one line per record, on standard error. */
final class LogSetup {
    private static final String FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    private static final String FORMAT =
            "%1$tY-%1$tm-%1$tdT%1$tH:%1$tM:%1$tS.%1$tL %4$s %5$s%6$s%n";
    private static final Logger LIBRARY_HTTP = Logger.getLogger("io.undertow");
    private static final Logger LIBRARY_IO = Logger.getLogger("org.xnio");
    private static final Logger PROGRAM = Logger.getLogger("org.amaranthpick");

    private LogSetup() {}

    /** Sets the format and quiets libraries; {@code decisions} lets decision lines through. */
    static void install(boolean decisions) {
        if (System.getProperty(FORMAT_PROPERTY) == null) {
            System.setProperty(FORMAT_PROPERTY, FORMAT);
        }
        LIBRARY_HTTP.setLevel(Level.WARNING);
        LIBRARY_IO.setLevel(Level.WARNING);
        PROGRAM.setLevel(decisions ? Level.INFO : Level.WARNING);
    }
}
