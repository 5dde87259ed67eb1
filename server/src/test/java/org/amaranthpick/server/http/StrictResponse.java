package org.amaranthpick.server.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Whole response as RFC 9112 has it, read from all bytes of a connection that ends with them. */
record StrictResponse(int status, TreeMap<String, List<String>> fields, String body) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.(\\d) (\\d{3}) [\\t\\x20-\\x7e\\x80-\\xff]*");
    private static final Pattern FIELD =
            Pattern.compile(
                    "([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\\t ]*([\\t\\x20-\\x7e\\x80-\\xff]*?)[\\t ]*");
    private static final Pattern LINES = Pattern.compile("((?:[^\\r\\n]+\\r?\\n)*)\\r?\\n");
    private static final Pattern CHUNK =
            Pattern.compile(
                    "([0-9A-Fa-f]{1,15})"
                            + "(?:[\\t ]*;[\\t ]*[!#$%&'*+.^_`|~0-9A-Za-z-]+"
                            + "(?:[\\t ]*=[\\t ]*(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+"
                            + "|\"(?:[\\t\\x20\\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]"
                            + "|\\\\[\\t\\x20-\\x7e\\x80-\\xff])*\"))?)*\\r\\n");

    /** Returns the response, empty if the bytes are none or it is not whole. */
    static Optional<StrictResponse> parse(String bytes) {
        Matcher head = LINES.matcher(bytes);
        if (!head.lookingAt()) {
            return Optional.empty();
        }
        String[] lines = head.group(1).split("\r?\n", -1);
        Matcher statusLine = STATUS_LINE.matcher(lines[0]);
        Optional<TreeMap<String, List<String>>> fields = fields(lines, 1);
        if (!statusLine.matches() || fields.isEmpty()) {
            return Optional.empty();
        }
        int status = Integer.parseInt(statusLine.group(2));
        boolean http10 = statusLine.group(1).equals("0");
        return body(status, fields.get(), http10, bytes.substring(head.end()))
                .map(body -> new StrictResponse(status, fields.get(), body));
    }

    private static Optional<TreeMap<String, List<String>>> fields(String[] lines, int first) {
        TreeMap<String, List<String>> fields = new TreeMap<>();
        for (int i = first; i < lines.length - 1; i++) {
            Matcher field = FIELD.matcher(lines[i]);
            if (!field.matches()) {
                return Optional.empty();
            }
            fields.computeIfAbsent(
                            field.group(1).toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                    .add(field.group(2).replaceAll("[\t ]+", " "));
        }
        return Optional.of(fields);
    }

    private static Optional<String> body(
            int status, TreeMap<String, List<String>> fields, boolean http10, String rest) {
        boolean bodiless = status == NO_CONTENT || status == NOT_MODIFIED;
        List<String> codings = fields.getOrDefault("transfer-encoding", List.of());
        List<String> lengths = fields.getOrDefault("content-length", List.of());
        if (!codings.isEmpty()) {
            boolean chunked =
                    codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked") && !http10;
            if (!chunked || !lengths.isEmpty() || status == NO_CONTENT) {
                return Optional.empty();
            }
            return bodiless ? Optional.of("") : chunks(rest);
        }
        if (lengths.isEmpty()) {
            return Optional.of(bodiless ? "" : rest);
        }
        if (lengths.stream().anyMatch(length -> !length.matches("[0-9]{1,9}"))
                || lengths.stream().map(Integer::valueOf).distinct().count() > 1) {
            return Optional.empty();
        }
        int length = Integer.parseInt(lengths.get(0));
        if (bodiless) {
            return status == NO_CONTENT && length > 0 ? Optional.empty() : Optional.of("");
        }
        return length > rest.length() ? Optional.empty() : Optional.of(rest.substring(0, length));
    }

    private static Optional<String> chunks(String rest) {
        StringBuilder body = new StringBuilder();
        Matcher chunk = CHUNK.matcher(rest);
        int start = 0;
        while (chunk.region(start, rest.length()).lookingAt()) {
            long size = Long.parseLong(chunk.group(1), 16);
            if (size == 0) {
                Matcher trailers = LINES.matcher(rest).region(chunk.end(), rest.length());
                boolean whole =
                        trailers.lookingAt()
                                && fields(trailers.group(1).split("\r?\n", -1), 0).isPresent();
                return whole ? Optional.of(body.toString()) : Optional.empty();
            }
            if (size > rest.length() - chunk.end()) {
                return Optional.empty();
            }
            start = chunk.end() + (int) size;
            body.append(rest, chunk.end(), start);
            if (!rest.startsWith("\r\n", start)) {
                return Optional.empty();
            }
            start += 2;
        }
        return Optional.empty();
    }

    /** Returns whether the status is one that callers are given. */
    boolean isFinal() {
        return status >= 200 && status <= 599;
    }
}
