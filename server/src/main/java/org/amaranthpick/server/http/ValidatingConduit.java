package org.amaranthpick.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import org.amaranthpick.server.http.response.MalformedResponseException;
import org.amaranthpick.server.http.response.ResponseValidator;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails the reads of a connection from the first malformed response on, before the library's parser
 * gets it: that parser rewrites or passes over what it can't read. Confined to an I/O thread.
 */
final class ValidatingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final ResponseValidator mValidator = new ResponseValidator();
    private Optional<MalformedResponseException> mFailure = Optional.empty();

    private ValidatingConduit(StreamSourceConduit next) {
        super(next);
    }

    /** Checks what is read from a channel. */
    static ValidatingConduit install(ConduitStreamSourceChannel channel) {
        ValidatingConduit conduit = new ValidatingConduit(channel.getConduit());
        channel.setConduit(conduit);
        return conduit;
    }

    /** Expects the response to a request with a method. */
    void onCall(String method) {
        mValidator.onCall(method.equals("HEAD"));
    }

    /** Returns whether every byte so far belongs to a response. */
    boolean isReusable() {
        return mFailure.isEmpty() && !mValidator.hasSurplus();
    }

    /** Returns why reading failed, empty if the bytes so far are well formed. */
    Optional<MalformedResponseException> failure() {
        return mFailure;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        checkReadable();
        int start = target.position();
        int count = super.read(target);
        check(target, start);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        checkReadable();
        int[] starts = new int[length];
        for (int i = 0; i < length; i++) {
            starts[i] = targets[offset + i].position();
        }
        long count = super.read(targets, offset, length);
        for (int i = 0; i < length; i++) {
            check(targets[offset + i], starts[i]);
        }
        return count;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        throw new IOException("responses are read into buffers, where they are checked");
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
            throws IOException {
        throw new IOException("responses are read into buffers, where they are checked");
    }

    private void checkReadable() throws IOException {
        if (mFailure.isPresent()) {
            throw mFailure.get();
        }
        if (mValidator.hasSurplus()) {
            throw new IOException("bytes came that belong to no response");
        }
    }

    private void check(ByteBuffer target, int start) throws MalformedResponseException {
        try {
            mValidator.check(target.duplicate().flip().position(start));
        } catch (MalformedResponseException e) {
            mFailure = Optional.of(e);
            throw e;
        }
    }
}
