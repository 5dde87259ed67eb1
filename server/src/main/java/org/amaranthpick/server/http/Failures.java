package org.amaranthpick.server.http;

import java.io.IOException;

/** Texts of I/O failures. */
final class Failures {
    private Failures() {}

    static String text(IOException e) {
        String message = e.getMessage();
        return message == null ? e.getClass().getSimpleName() : message;
    }
}
