package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.util.HeaderMap;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.amaranthpick.core.reach.PathFault;
import org.amaranthpick.core.reach.PathSearch;
import org.amaranthpick.core.reach.RelayReply;
import org.amaranthpick.core.reach.RelayRequest;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.OutgoingCall;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/** One call to an upstream over the first path that opens. Confined to the I/O thread. */
final class UpstreamCall {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final UpstreamConnector mConnector;
    private final UpstreamEntry mUpstream;
    private final OutgoingRequest mRequest;
    private final ResponseListener mListener;
    private final boolean mQuery;
    private final PathSearch mSearch;
    private Optional<OutgoingCall> mCall = Optional.empty();
    private Optional<String> mRelay = Optional.empty();
    private boolean mPaused;
    private boolean mCancelled;

    /**
     * Creates a call.
     *
     * @param query whether the call may reach the upstream twice
     */
    UpstreamCall(
            UpstreamConnector connector,
            UpstreamEntry upstream,
            OutgoingRequest request,
            ResponseListener listener,
            boolean query) {
        mConnector = connector;
        mUpstream = upstream;
        mRequest = request;
        mListener = listener;
        mQuery = query;
        mSearch = connector.search(upstream, query);
    }

    void start() {
        search(() -> follow(mSearch.first(mConnector.nowNs()), "the direct path is broken"));
    }

    void pause() {
        mPaused = true;
        mCall.ifPresent(OutgoingCall::pause);
    }

    void resume() {
        mPaused = false;
        mCall.ifPresent(OutgoingCall::resume);
    }

    void cancel() {
        mCancelled = true;
        mCall.ifPresent(OutgoingCall::cancel);
    }

    /** Returns the daemon that the call goes through, empty on the direct path. */
    Optional<String> relay() {
        return mRelay;
    }

    /** Runs a step of the search for a path; if it fails, nothing has been sent. */
    private void search(Runnable step) {
        run(step, reason -> new CallEnd.NotSent(reason, PathFault.OWN_PATH));
    }

    /** Runs a step; if it fails, the call ends. Nobody else would notice before the deadline. */
    private void run(Runnable step, Function<String, CallEnd> endIfFailed) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mConnector.onStepFailed(e);
            mListener.onEnd(endIfFailed.apply("the search for a path failed, " + e));
        }
    }

    private void follow(PathSearch.Step step, String reason) {
        if (step instanceof PathSearch.Step.Direct) {
            startCall(
                    mConnector.direct().prepare(mRequest, new PathListener(this::onDirectFailed)));
        } else if (step instanceof PathSearch.Step.Relay relay) {
            mConnector.askRelay(
                    relay.peer(),
                    new RelayRequest(mUpstream.id(), false),
                    reply -> search(() -> onRelayReply(relay.peer(), reply, reason)));
        } else if (step instanceof PathSearch.Step.Stop stop) {
            mListener.onEnd(new CallEnd.NotSent(reason, stop.fault()));
            if (stop.fault() == PathFault.UNCONFIRMED) {
                mConnector.check(mUpstream);
            }
        }
    }

    private void startCall(OutgoingCall call) {
        mCall = Optional.of(call);
        if (mPaused) {
            call.pause();
        }
        call.start();
    }

    private void onDirectFailed(String reason) {
        mConnector.metrics().onPathFailed();
        sLogger.atInfo().log(
                "path: upstream=%s address=%s direct failed, reason=\"%s\"",
                mUpstream.id(), mUpstream.address(), reason);
        follow(mSearch.onDirectFailed(mConnector.nowNs()), reason);
    }

    private void onRelayReply(String peer, Optional<RelayReply> reply, String reason) {
        if (mCancelled) {
            mListener.onEnd(new CallEnd.NotSent("cancelled"));
            return;
        }
        long nowNs = mConnector.nowNs();
        if (reply.isEmpty()) {
            follow(mSearch.onRelayUnreachable(peer, nowNs), reason);
            return;
        }
        RelayReply.Status status = reply.get().status();
        mConnector.metrics().onRelayReply(status);
        sLogger.atInfo().log("path: upstream=%s relay=%s status=%s", mUpstream.id(), peer, status);
        if (status == RelayReply.Status.OPENED) {
            mSearch.onOpened(peer, nowNs);
            sendOver(peer, reply.get().path());
        } else {
            follow(mSearch.onRefused(peer, status, nowNs), reason + "; relay: " + status);
        }
    }

    private void sendOver(String peer, String path) {
        mRelay = Optional.of(peer);
        Map<String, String> headers = new HashMap<>(mRequest.headers());
        headers.putIfAbsent("Host", mRequest.address().getAuthority());
        headers.put(UpstreamConnector.PATH_HEADER.toString(), path);
        OutgoingRequest relayed =
                new OutgoingRequest(
                        URI.create("http://" + peer),
                        mRequest.method(),
                        mRequest.path(),
                        headers,
                        mRequest.body(),
                        mRequest.silence(),
                        mRequest.total());
        startCall(mConnector.relayed().prepare(relayed, new RelayListener(peer)));
    }

    /** Passes the call on, unless it fails before the upstream could have got the request. */
    private class PathListener implements ResponseListener {
        private final Consumer<String> mOnFailed;
        private boolean mAnswered;

        PathListener(Consumer<String> onFailed) {
            mOnFailed = onFailed;
        }

        boolean isAnswered() {
            return mAnswered;
        }

        void pass(int status, HeaderMap headers) {
            mAnswered = true;
            if (mQuery) {
                mConnector.onQueryAnswered(mUpstream, status, headers);
            }
            mListener.onResponse(status, headers);
        }

        @Override
        public void onSending() {
            mListener.onSending();
        }

        @Override
        public void onResponse(int status, HeaderMap headers) {
            mConnector.onAnswered(mUpstream);
            pass(status, headers);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            if (mAnswered) {
                mListener.onBytes(bytes);
            }
        }

        @Override
        public boolean acceptsMore() {
            return mListener.acceptsMore();
        }

        @Override
        public void onEnd(CallEnd end) {
            if (!mCancelled && end instanceof CallEnd.NotSent unsent) {
                search(() -> mOnFailed.accept(unsent.reason()));
            } else if (!mCancelled && mQuery && !mAnswered && end instanceof CallEnd.Lost lost) {
                search(() -> mOnFailed.accept(lost.reason()));
            } else {
                mListener.onEnd(end);
            }
        }
    }

    /** Distinguishes responses of the upstream from those of the daemon that relays them. */
    private final class RelayListener extends PathListener {
        private final String mPeer;
        private Optional<String> mRelayResult = Optional.empty();

        RelayListener(String peer) {
            super(reason -> follow(mSearch.onRelayUnreachable(peer, mConnector.nowNs()), reason));
            mPeer = peer;
        }

        @Override
        public void onResponse(int status, HeaderMap headers) {
            String result = headers.getFirst(UpstreamConnector.RESULT_HEADER);
            if (UpstreamConnector.RESULT_UPSTREAM.equals(result)) {
                headers.remove(UpstreamConnector.RESULT_HEADER);
                pass(status, headers);
            } else {
                mRelayResult = Optional.of(result == null ? "status " + status : result);
            }
        }

        @Override
        public void onEnd(CallEnd end) {
            run(() -> onRelayEnd(end), CallEnd.Lost::new);
        }

        private void onRelayEnd(CallEnd end) {
            mConnector.relays().onEnded(mPeer);
            if (mRelayResult.filter(UpstreamConnector.RESULT_NOT_SENT::equals).isPresent()) {
                RelayReply.Status status = RelayReply.Status.UNAVAILABLE;
                follow(
                        mSearch.onRefused(mPeer, status, mConnector.nowNs()),
                        "the relay has not sent the request");
            } else if (mRelayResult.isPresent()) {
                super.onEnd(new CallEnd.Lost("relay: " + mRelayResult.get()));
            } else {
                if (!isAnswered() && !mCancelled && end instanceof CallEnd.Lost) {
                    mConnector.relays().onUnreachable(mPeer, mConnector.nowNs());
                }
                super.onEnd(end);
            }
        }
    }
}
