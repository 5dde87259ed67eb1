package org.amaranthpick.server.http.response;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Head of a response, as far as it says where the body ends. */
final class ResponseHead {
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final long NO_LENGTH = -1;

    private final StatusLine mStatusLine;
    private final List<String> mLengths = new ArrayList<>(1);
    private final List<String> mCodings = new ArrayList<>(1);

    ResponseHead(StatusLine statusLine) {
        mStatusLine = statusLine;
    }

    StatusLine statusLine() {
        return mStatusLine;
    }

    void add(FieldLine field) {
        switch (field.name().toLowerCase(Locale.ROOT)) {
            case CONTENT_LENGTH -> mLengths.add(field.value());
            case TRANSFER_ENCODING -> mCodings.add(field.value());
            default -> {}
        }
    }

    /**
     * Returns how the end of the body is found, after RFC 9112, section 6.3.
     *
     * @param toHead whether the request has the method HEAD
     */
    BodyFraming framing(boolean toHead) throws MalformedResponseException {
        long length = length();
        boolean chunked = isChunked();
        if (chunked && length != NO_LENGTH) {
            throw new MalformedResponseException(
                    ResponseFault.TRANSFER_CODING, "a transfer coding beside a length");
        }
        if (toHead || mStatusLine.hasNoBody()) {
            checkNoBody(length, chunked);
            return new BodyFraming.Sized(0);
        }
        if (chunked) {
            return new BodyFraming.Chunked();
        }
        return length == NO_LENGTH ? new BodyFraming.UntilClose() : new BodyFraming.Sized(length);
    }

    /** Returns the length of the body. Lines that repeat it are accepted, other ones are not. */
    private long length() throws MalformedResponseException {
        long length = NO_LENGTH;
        for (String text : mLengths) {
            long next = parseLength(text);
            if (length != NO_LENGTH && next != length) {
                throw new MalformedResponseException(
                        ResponseFault.LENGTH, "the lengths " + length + " and " + next);
            }
            length = next;
        }
        return length;
    }

    private static long parseLength(String text) throws MalformedResponseException {
        if (!text.isEmpty() && text.chars().allMatch(Characters::isDigit)) {
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException e) {
                // Falls through: too large.
            }
        }
        throw new MalformedResponseException(
                ResponseFault.LENGTH, QuotedText.of(text) + " is no length in bytes");
    }

    private boolean isChunked() throws MalformedResponseException {
        if (mCodings.isEmpty()) {
            return false;
        }
        if (mCodings.size() > 1
                || !mCodings.get(0).equalsIgnoreCase(CHUNKED)
                || !mStatusLine.knowsTransferCodings()) {
            throw new MalformedResponseException(
                    ResponseFault.TRANSFER_CODING,
                    "transfer coding " + QuotedText.of(String.join(", ", mCodings)));
        }
        return true;
    }

    private void checkNoBody(long length, boolean chunked) throws MalformedResponseException {
        if ((length > 0 || chunked) && !mStatusLine.mayDescribeBody()) {
            throw new MalformedResponseException(
                    ResponseFault.LENGTH, "a body with the status " + mStatusLine.status());
        }
    }
}
