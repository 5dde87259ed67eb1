package lab;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon, started with the command of the deploy file in the folder of the repository. */
public final class Daemon {
    public final String node;
    public final String ip;
    public final int front;
    public final int ready;
    private final int mPeerPort;
    private final Path mFolder;
    private final String mStore;
    private final String mZone;
    private Process mProcess;

    public Daemon(String node, String ip, String zone, Path folder, String store)
            throws Exception {
        this.node = node;
        this.ip = ip;
        mZone = zone;
        mFolder = folder;
        mStore = store;
        front = Lab.freePort(ip);
        ready = Lab.freePort(ip);
        mPeerPort = Lab.freePort(ip);
    }

    /** Settings with the fields and figures that DEPLOY.md and the deployment's sheet give. */
    private String settings() {
        return "{\"node\":\"" + node + "\",\"role\":\"gateway\",\"machineClass\":\"front\","
                + "\"serves\":[\"front\"],\"ip\":\"" + ip + "\",\"zone\":\"" + mZone + "\","
                + "\"region\":\"pt-centro\",\"zones\":{\"viseu-a\":\"pt-centro\","
                + "\"viseu-b\":\"pt-centro\",\"tondela-c\":\"pt-centro\"},"
                + "\"listen\":{\"front\":\"" + ip + ":" + front + "\",\"ready\":\"" + ip + ":"
                + ready + "\"},\"internalPortRange\":[" + mPeerPort + "," + mPeerPort + "],"
                + "\"seeds\":[],\"bootstrap\":true,\"inTolerance\":false,"
                + "\"limits\":{\"cpuShare\":0.51,\"cores\":1,\"memoryMb\":352,\"maxFds\":2118,"
                + "\"linkMbps\":490,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\","
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
                + mStore + "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,"
                + "\"historyS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}}";
    }

    /** Starts the process; its log goes to a file of its own. */
    public void start() throws Exception {
        Files.createDirectories(mFolder);
        Path file = mFolder.resolve(node + ".json");
        Files.writeString(file, settings());
        String line =
                Files.readAllLines(Path.of("deploy/system.toml"), StandardCharsets.UTF_8).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
        String path = System.getenv("PATH");
        String home = System.getenv("HOME");
        builder.environment().clear();
        builder.environment().put("PATH", path);
        if (home != null) {
            builder.environment().put("HOME", home);
        }
        builder.environment().put("AMARANTHPICK_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        File log = mFolder.resolve(node + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mProcess = builder.start();
        Lab.children.add(mProcess);
    }

    public Path log() {
        return mFolder.resolve(node + ".log");
    }

    public boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    public void kill() throws Exception {
        mProcess.destroyForcibly();
        mProcess.waitFor(5, TimeUnit.SECONDS);
    }

    public boolean isReady() {
        Http.Message answer =
                Client.once(ip, ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
        return answer != null && answer.status() == 200;
    }

    public boolean awaitReady(long ms) throws Exception {
        long endNs = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < endNs) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Resident memory in MB, 0 if the process has ended. */
    public long residentMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + mProcess.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (Exception e) {
            return 0;
        }
        return 0;
    }
}
