package lab;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** What all scripts share: the record, free ports, the processes to end. */
public final class Lab {
    public static final ConcurrentLinkedQueue<Process> children = new ConcurrentLinkedQueue<>();
    private static final long START_NS = System.nanoTime();
    private static PrintWriter sRecord;

    private Lab() {}

    /** Opens record.txt in the folder of the case and a temporary folder for the processes. */
    public static Path open(String caseFolder) throws Exception {
        sRecord = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(folder)));
        return folder;
    }

    private static void end(Path folder) {
        children.forEach(Process::destroyForcibly);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (Exception e) {
            // The folder stays.
        }
    }

    public static double seconds() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    public static synchronized void record(String format, Object... values) {
        String line = String.format("%8.3f ", seconds()) + String.format(format, values);
        sRecord.println(line);
    }

    public static void say(String format, Object... values) {
        record(format, values);
        System.out.println(String.format(format, values));
    }

    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** A loopback address of this run; the metrics port is the same on every address. */
    public static String ip(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + number;
    }

    public static int freePort(String ip) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }
}
