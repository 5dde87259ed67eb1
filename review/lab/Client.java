package lab;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A client with one kept connection. */
public final class Client implements AutoCloseable {
    private final String mIp;
    private final int mPort;
    private Socket mSocket;
    private InputStream mIn;

    public Client(String ip, int port) {
        mIp = ip;
        mPort = port;
    }

    /** Sends a request on a new connection; null if no answer came. */
    public static Http.Message once(String ip, int port, String request, int timeoutMs) {
        try (Client client = new Client(ip, port)) {
            return client.send(request.getBytes(StandardCharsets.ISO_8859_1), timeoutMs);
        } catch (Exception e) {
            return null;
        }
    }

    /** Sends a request and reads its answer; null if the connection ended without one. */
    public Http.Message send(byte[] request, int timeoutMs) throws Exception {
        if (mSocket == null) {
            mSocket = new Socket();
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(mIp, mPort), 1000);
            mIn = new BufferedInputStream(mSocket.getInputStream());
        }
        mSocket.setSoTimeout(timeoutMs);
        try {
            mSocket.getOutputStream().write(request);
        } catch (SocketException e) {
            // The daemon may have answered before it has read all of the request.
        }
        Http.Message answer = Http.read(mIn, false);
        if (answer == null
                || !answer.complete
                || "close".equalsIgnoreCase(answer.header("Connection"))) {
            close();
        }
        return answer;
    }

    @Override
    public void close() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (Exception e) {
            // It is gone already.
        }
        mSocket = null;
    }
}
