package lab;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Small HTTP/1.1 over plain sockets, one thread for each connection. */
public final class Http {
    /** First line, headers and body of a request or a response. */
    public static final class Message {
        public String first = "";
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];
        public boolean complete = true;

        public String header(String name) {
            return headers.get(name);
        }

        public String method() {
            return first.split(" ")[0];
        }

        public String target() {
            return first.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one connection's requests; returns false to close the connection. */
    public interface Handler {
        boolean handle(Message request, Socket socket) throws Exception;
    }

    private Http() {}

    /** Serves connections until the server socket is closed. */
    public static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(ip, port), 1024);
        Thread acceptor =
                new Thread(
                        () -> {
                            while (!server.isClosed()) {
                                try {
                                    Socket socket = server.accept();
                                    Thread t = new Thread(() -> converse(socket, handler));
                                    t.setDaemon(true);
                                    t.start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }

    private static void converse(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(in, true);
                if (request == null || !handler.handle(request, socket)) {
                    return;
                }
            }
        } catch (Exception e) {
            // The other side went away.
        }
    }

    /** Reads a message; null if the connection ended before it. */
    public static Message read(InputStream in, boolean request) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = line(in);
            if (line == null) {
                return null;
            }
            if (line.isEmpty()) {
                break;
            }
            lines.add(line);
        }
        if (lines.isEmpty()) {
            return null;
        }
        Message message = new Message();
        message.first = lines.get(0);
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = chunks(in, message);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            message.complete = message.body.length == Integer.parseInt(length);
        } else if (!request) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] chunks(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            while (true) {
                String line = line(in);
                if (line == null) {
                    throw new EOFException();
                }
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                if (chunk.length < size) {
                    throw new EOFException();
                }
                line(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        } catch (IOException e) {
            message.complete = false;
            return body.toByteArray();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    /** Writes a whole message with its length. */
    public static void write(Socket socket, String first, String headers, byte[] body)
            throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(
                (first + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
    }

    /** Answers with JSON. */
    public static void json(Socket socket, int status, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + " X",
                "Content-Type: application/json\r\n",
                body.getBytes(StandardCharsets.UTF_8));
    }
}
