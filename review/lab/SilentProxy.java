package lab;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes bytes to an address. Connections that are open can be made silent; new ones work. */
public final class SilentProxy {
    private final ServerSocket mServer = new ServerSocket();
    private final Set<Pair> mPairs = ConcurrentHashMap.newKeySet();
    private final String mTarget;

    private static final class Pair {
        volatile boolean silent;
    }

    public SilentProxy(String ip, String target) throws Exception {
        mTarget = target;
        mServer.bind(new InetSocketAddress(ip, 0), 1024);
        start(this::accept);
    }

    public String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    /** From now on no byte and no end passes on the connections that are open at this moment. */
    public int silence() {
        mPairs.forEach(pair -> pair.silent = true);
        return mPairs.size();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket near = mServer.accept();
                String[] parts = mTarget.split(":");
                Socket far = new Socket(parts[0], Integer.parseInt(parts[1]));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Pair pair = new Pair();
                mPairs.add(pair);
                start(() -> pass(pair, near, far));
                start(() -> pass(pair, far, near));
            } catch (Exception e) {
                return;
            }
        }
    }

    private void pass(Pair pair, Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!pair.silent) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (Exception e) {
            // One side has gone.
        }
        mPairs.remove(pair);
        if (!pair.silent) {
            try {
                from.close();
                to.close();
            } catch (Exception e) {
                // They are closed already.
            }
        }
    }
}
