import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A daemon as a process, started with the command of the deploy file in the repository root. */
final class LabDaemon implements AutoCloseable {
    private static final int METRICS_PORT = 9464;

    private final Path mLog;
    private final Path mSettings;
    private final String mName;
    private final String mIp;
    private final int mFrontPort;
    private final int mReadyPort;
    private Process mProcess;

    /** Prepares a daemon on a loopback address of its own; it is not started yet. */
    LabDaemon(Path folder, int number, String zone, String storeAddress) throws IOException {
        mName = "front-" + zone + "-" + number;
        mIp = freeIp(number);
        mFrontPort = freePort(mIp);
        mReadyPort = freePort(mIp);
        int internalPort = freePort(mIp);
        mLog = folder.resolve(mName + ".log");
        mSettings = folder.resolve(mName + ".json");
        Files.writeString(mSettings, settings(zone, internalPort, storeAddress));
    }

    private static String freeIp(int number) throws IOException {
        for (int third = 10; third < 200; third++) {
            String ip = "127.0." + third + "." + (10 + number);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), METRICS_PORT));
                return ip;
            } catch (IOException e) {
                // Another address may be free.
            }
        }
        throw new IOException("no loopback address with a free metrics port");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    private String settings(String zone, int internalPort, String storeAddress) {
        return "{\"node\":\"" + mName + "\",\"role\":\"gateway\",\"machineClass\":\"front\","
                + "\"serves\":[\"front\"],\"ip\":\"" + mIp + "\",\"zone\":\"" + zone + "\","
                + "\"region\":\"r\",\"zones\":{\"" + zone + "\":\"r\"},"
                + "\"internalPortRange\":[" + internalPort + "," + (internalPort + 15) + "],"
                + "\"listen\":{\"front\":\"" + mIp + ":" + mFrontPort + "\",\"ready\":\"" + mIp + ":"
                + mReadyPort + "\"},\"seeds\":[],\"bootstrap\":true,\"inTolerance\":false,"
                + "\"limits\":{\"cpuShare\":0.51,\"cores\":1,\"memoryMb\":352,\"maxFds\":2118,"
                + "\"linkMbps\":489.99,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\","
                + "\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\","
                + "\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
                + "\"platform\",\"layers\"],\"faultTolerance\":{\"machines\":1,\"zones\":1,"
                + "\"regions\":0},\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
                + "\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
                + "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,"
                + "\"rollbackSlackMs\":250,\"maxSkewMs\":5000,\"strictRevoke\":false,"
                + "\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,"
                + "\"retryBudgetExtra\":392,\"recoveryS\":12,\"passMs\":120,\"retryAfterS\":0,"
                + "\"stall_ms\":2500,\"requireFence\":true},\"platform\":{\"address\":\""
                + storeAddress + "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,"
                + "\"historyS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}}";
    }

    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst().orElseThrow();
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> command = new ArrayList<>(List.of(words.split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                .directory(new File("."));
        builder.environment().put("AMARANTHPICK_SETTINGS", mSettings.toString());
        mProcess = builder.start();
    }

    String name() {
        return mName;
    }

    URI front() {
        return URI.create("http://" + mIp + ":" + mFrontPort);
    }

    Process process() {
        return mProcess;
    }

    /** Returns what the process wrote last. */
    String lastLine(String part) throws IOException {
        String found = "";
        for (String line : Files.readAllLines(mLog)) {
            found = line.contains(part) ? line : found;
        }
        return found;
    }

    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + mIp + ":" + mReadyPort + "/ready").toURL()
                            .openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long withinMs) throws InterruptedException {
        long endMs = System.currentTimeMillis() + withinMs;
        while (System.currentTimeMillis() < endMs) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
