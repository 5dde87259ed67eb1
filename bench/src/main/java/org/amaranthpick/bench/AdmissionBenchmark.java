package org.amaranthpick.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.admit.AdmissionSettings;
import org.amaranthpick.core.admit.CapacityGate;
import org.amaranthpick.core.admit.FairAdmission;
import org.amaranthpick.core.admit.LocalLimits;
import org.amaranthpick.core.admit.Permit;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.time.VirtualScheduler;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Cost of one request in admission, with and without queues of every workspace. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {
    private static final int CAPACITY = 64;

    /** Workspaces that ask in turn. */
    @Param({"10", "1400"})
    public int workspaces;

    /** Requests of each workspace that wait. */
    @Param({"0", "2"})
    public int waiting;

    private final VirtualScheduler mScheduler =
            new VirtualScheduler(Instant.parse("2026-01-04T18:00:00Z"));
    private final List<AdmissionRequest> mRequests = new ArrayList<>();
    private final Deque<Permit> mPermits = new ArrayDeque<>();
    private FairAdmission mAdmission;
    private int mNext;

    /** Gate of a fixed size. */
    private static final class FixedCapacityGate implements CapacityGate {
        private int mFree = CAPACITY;

        @Override
        public boolean tryAcquire(String group, int priority) {
            if (mFree == 0) {
                return false;
            }
            mFree--;
            return true;
        }

        @Override
        public void release(String group) {
            mFree++;
        }
    }

    /** Fills the places and the queues. */
    @Setup
    public void build() {
        AdmissionSettings settings =
                new AdmissionSettings(
                        100, 1_000_000, Duration.ofDays(1), Duration.ofSeconds(1), 4_000);
        mAdmission =
                new FairAdmission(
                        settings, new LocalLimits(mScheduler), new FixedCapacityGate(), mScheduler);
        for (int i = 0; i < workspaces; i++) {
            WorkspaceSpec workspace =
                    new WorkspaceSpec(
                            new Identity("kenanga", ResourceKind.WORKSPACE, "w" + i),
                            List.of(),
                            new WorkspaceSpec.Limits(1e9, 1e12, 1_000_000),
                            1,
                            List.of(),
                            List.of());
            mRequests.add(
                    new AdmissionRequest("r" + i, workspace, "model", 500, 3, Optional.empty()));
        }
        int requests = CAPACITY / 2 + waiting * (workspaces + CAPACITY / 2);
        for (int i = 0; i < requests; i++) {
            ask();
        }
    }

    /** Ends one request and asks for another. */
    @Benchmark
    public void request() {
        mPermits.removeFirst().close();
        ask();
    }

    private void ask() {
        mNext++;
        var unused =
                mAdmission.request(
                        mRequests.get(mNext % workspaces),
                        decision -> {
                            if (decision instanceof AdmissionDecision.Admitted admitted) {
                                mPermits.addLast(admitted.permit());
                            }
                        });
    }
}
