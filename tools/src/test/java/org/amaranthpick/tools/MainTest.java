package org.amaranthpick.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(
                args,
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    @Test
    void demoEndsWithEveryStepRight() {
        int code = run("demo");
        assertEquals(ExitCode.OK, code, mOut + "\n" + mErr);
    }

    @Test
    void helpListsTheCommands() {
        assertEquals(ExitCode.OK, run("help"));
        Approvals.verify(mOut.toString(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve", "status", "drain", "apply"})
    void missingSettingsAreAUsageFaultWithRemedy(String command) {
        String[] args =
                command.equals("apply") ? new String[] {command, "x"} : new String[] {command};
        assertEquals(ExitCode.USAGE, run(args));
        assertTrue(mErr.size() > 0);
    }

    @Test
    void addressInUseEndsTheCommandWithARemedy() throws IOException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String used = "127.0.0.1:" + taken.getLocalPort();
            String[] args = {
                "serve",
                "--fleet=f",
                "--host-name=h",
                "--domain=d",
                "--region=r",
                "--caller-address=" + used,
                "--operator-address=" + used,
                "--peer-address=" + used,
                "--store-address=http://" + used,
                "--peer-key=" + "k".repeat(32),
                "--operator-token=" + "t".repeat(16)
            };
            assertEquals(ExitCode.USAGE, run(args));
            assertTrue(mErr.toString(StandardCharsets.UTF_8).contains("check the addresses"));
        }
    }

    @Test
    void unknownOptionIsAUsageFault() {
        assertEquals(ExitCode.USAGE, run("serve", "--colour", "red"));
    }

    @Test
    void faultyManifestIsRefusedWithEveryFault(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("manifest.yaml");
        Files.writeString(file, "fleets:\n  - name: a b\n    pipelines:\n      - name: p\n");
        assertEquals(ExitCode.REFUSED, run("validate", file.toString()));
        String faults = mErr.toString(StandardCharsets.UTF_8).replace(file.toString(), "FILE");
        Approvals.verify(faults);
    }
}
