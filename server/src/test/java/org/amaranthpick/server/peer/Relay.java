package org.amaranthpick.server.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays connections and can make the open ones silent, as a lost connection table does. */
final class Relay implements AutoCloseable {
    private final ServerSocket mServer;
    private final int mTargetPort;
    private final List<Pair> mPairs = new CopyOnWriteArrayList<>();

    private static final class Pair {
        private final Socket mFrom;
        private final Socket mTo;
        private volatile boolean mSilent;

        Pair(Socket from, Socket to) {
            mFrom = from;
            mTo = to;
        }

        void copy(Socket source, Socket target) {
            byte[] buffer = new byte[4096];
            try (InputStream in = source.getInputStream()) {
                OutputStream out = target.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!mSilent) {
                        out.write(buffer, 0, n);
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // One side closed; so does the other below.
            }
            if (!mSilent) {
                closeQuietly(source);
                closeQuietly(target);
            }
        }
    }

    Relay(int targetPort) throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mTargetPort = targetPort;
        daemon(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    void silenceOpenConnections() {
        mPairs.forEach(pair -> pair.mSilent = true);
    }

    private void accept() {
        try {
            while (true) {
                Socket from = mServer.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), mTargetPort);
                Pair pair = new Pair(from, to);
                mPairs.add(pair);
                daemon(() -> pair.copy(from, to));
                daemon(() -> pair.copy(to, from));
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mPairs.forEach(
                pair -> {
                    closeQuietly(pair.mFrom);
                    closeQuietly(pair.mTo);
                });
    }
}
