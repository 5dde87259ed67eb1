package org.amaranthpick.core.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.RefusalReason;
import org.amaranthpick.core.route.Fleet;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FairAdmissionTest {
    private static final WorkspaceSpec.Limits WIDE = new WorkspaceSpec.Limits(1e6, 1e9, 10_000);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Fleet.ORIGIN);
    private final Places mPlaces = new Places(4);
    private final Map<String, AdmissionDecision> mDecisions = new HashMap<>();
    private final List<String> mOrder = new ArrayList<>();

    /** Gate of a fixed size. */
    private static final class Places implements CapacityGate {
        private int mFree;

        Places(int free) {
            mFree = free;
        }

        @Override
        public boolean tryEnter(String group, int priority) {
            return mFree > 0 && mFree-- > 0;
        }

        @Override
        public void leave(String group) {
            mFree++;
        }
    }

    private FairAdmission admission(int maxPerWorkspace, int maxWaiting) {
        AdmissionSettings settings =
                new AdmissionSettings(
                        maxPerWorkspace,
                        maxWaiting,
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(1),
                        4_000);
        return new FairAdmission(settings, new LocalLimits(mScheduler), mPlaces, mScheduler);
    }

    private static WorkspaceSpec workspace(String name, int weight, WorkspaceSpec.Limits limits) {
        return new WorkspaceSpec(
                Fleet.id(ResourceKind.WORKSPACE, name),
                List.of(),
                limits,
                weight,
                List.of(),
                List.of());
    }

    private Cancellable ask(
            FairAdmission admission,
            String id,
            WorkspaceSpec workspace,
            int priority,
            Optional<Duration> deadline) {
        AdmissionRequest request =
                new AdmissionRequest(
                        id,
                        workspace,
                        "model",
                        100,
                        priority,
                        deadline.map(left -> mScheduler.instant().plus(left)));
        return admission.request(
                request,
                decision -> {
                    assertEquals(null, mDecisions.put(id, decision), "decided twice: " + id);
                    if (decision instanceof AdmissionDecision.Admitted) {
                        mOrder.add(id);
                    }
                });
    }

    private void close(String id) {
        assertInstanceOf(AdmissionDecision.Admitted.class, mDecisions.get(id)).permit().close();
    }

    /** Ends the running requests one by one, each after 100 ms. */
    private void serve(int requests) {
        int next = 0;
        for (int i = 0; i < requests && next < mOrder.size(); i++) {
            mScheduler.advance(Duration.ofMillis(100));
            close(mOrder.get(next++));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "3, 1", "1, 4"})
    void workspacesShareByWeight(int weightA, int weightB) {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 400; i++) {
            ask(admission, "a" + i, workspace("a", weightA, WIDE), 3, Optional.empty());
        }
        for (int i = 0; i < 400; i++) {
            ask(admission, "b" + i, workspace("b", weightB, WIDE), 3, Optional.empty());
        }
        serve(200);
        long a = mOrder.stream().skip(8).filter(id -> id.startsWith("a")).count();
        long b = mOrder.stream().skip(8).filter(id -> id.startsWith("b")).count();
        double expected = (double) weightA / (weightA + weightB);
        assertEquals(expected, a / (double) (a + b), 0.05);
    }

    /** An urgent request of a workspace within its share passes a long queue of batch work. */
    @Test
    void urgentRequestPassesTheQueue() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 500; i++) {
            ask(admission, "a" + i, workspace("a", 1, WIDE), 1, Optional.empty());
        }
        serve(50);
        ask(admission, "urgent", workspace("b", 1, WIDE), 9, Optional.empty());
        int before = mOrder.size();
        close(mOrder.get(before - 1));
        assertEquals("urgent", mOrder.get(before));
    }

    /** Neither between workspaces nor within one does urgent work hold back the rest for ever. */
    @ParameterizedTest
    @ValueSource(strings = {"same", "other"})
    void lowPriorityIsServedInTime(String workspace) {
        FairAdmission admission = admission(1_000, 10_000);
        WorkspaceSpec busy = workspace("busy", 1, WIDE);
        WorkspaceSpec low = workspace.equals("same") ? busy : workspace("low", 1, WIDE);
        for (int i = 0; i < 4; i++) {
            ask(admission, "first" + i, busy, 9, Optional.empty());
        }
        ask(admission, "low", low, 0, Optional.empty());
        int next = 0;
        int turns = 0;
        while (!mOrder.contains("low")) {
            ask(admission, "u" + turns + "-1", busy, 9, Optional.empty());
            ask(admission, "u" + turns + "-2", busy, 9, Optional.empty());
            mScheduler.advance(Duration.ofMillis(50));
            close(mOrder.get(next++));
            turns++;
            assertTrue(turns < 600, "not served after 600 others");
        }
    }

    /** A deadline that the queue cannot meet is refused at once, with the time to come back. */
    @Test
    void deadlineOutOfReachIsRefusedAtOnce() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 300; i++) {
            ask(admission, "a" + i, workspace("a", 1, WIDE), 3, Optional.empty());
        }
        serve(40);
        ask(admission, "hopeless", workspace("a", 1, WIDE), 3, Optional.of(Duration.ofSeconds(1)));
        AdmissionDecision.Refused refused =
                assertInstanceOf(AdmissionDecision.Refused.class, mDecisions.get("hopeless"));
        assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refused.reason());
        Duration retryAfter = refused.retryAfter().orElseThrow();
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(15)) > 0, "after " + retryAfter);
        ask(admission, "patient", workspace("a", 1, WIDE), 3, Optional.of(Duration.ofHours(1)));
        assertEquals(null, mDecisions.get("patient"));
    }

    /** A waiting request is given up when its deadline passes, not when its turn would come. */
    @Test
    void deadlineThatPassesEndsTheWait() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 4; i++) {
            ask(admission, "a" + i, workspace("a", 1, WIDE), 3, Optional.empty());
        }
        ask(admission, "late", workspace("a", 1, WIDE), 3, Optional.of(Duration.ofSeconds(2)));
        mScheduler.advance(Duration.ofMillis(1_999));
        assertEquals(null, mDecisions.get("late"));
        mScheduler.advance(Duration.ofMillis(2));
        assertInstanceOf(AdmissionDecision.Refused.class, mDecisions.get("late"));
        assertEquals(0, admission.waiting());
    }

    @ParameterizedTest
    @CsvSource({"10, 1000", "1000, 10"})
    void queueIsBounded(int maxPerWorkspace, int maxWaiting) {
        FairAdmission admission = admission(maxPerWorkspace, maxWaiting);
        for (int i = 0; i < 100; i++) {
            ask(admission, "a" + i, workspace("a", 1, WIDE), 3, Optional.empty());
        }
        assertEquals(10, admission.waiting());
        ask(admission, "b", workspace("b", 1, WIDE), 3, Optional.empty());
        assertEquals(null, mDecisions.get("b"), "a full queue makes room for another workspace");
        assertEquals(14 + (maxWaiting == 10 ? 0 : 1), waitingAndRunning(admission));
    }

    private int waitingAndRunning(FairAdmission admission) {
        return admission.waiting() + mOrder.size();
    }

    /** Limits of a workspace hold whatever the capacity. */
    @ParameterizedTest
    @CsvSource({"1000000, 1000000000, 2, 2", "10, 1000000000, 1000, 110", "1000000, 500, 1000, 55"})
    void limitsHold(double requests, double tokens, int concurrent, int expected) {
        mPlaces.mFree = 10_000;
        FairAdmission admission = admission(1_000, 10_000);
        WorkspaceSpec limited =
                workspace("a", 1, new WorkspaceSpec.Limits(requests, tokens, concurrent));
        for (int i = 0; i < 300; i++) {
            ask(admission, "a" + i, limited, 3, Optional.of(Duration.ofHours(1)));
        }
        mScheduler.advance(Duration.ofSeconds(10));
        assertEquals(expected, mOrder.size(), 0.05 * expected);
    }

    /** Each request is decided exactly once or cancelled; nothing is left in the queue. */
    @Property(seed = "20260108", tries = 100)
    void everyRequestIsDecidedOnce(@ForAll int seed) {
        mDecisions.clear();
        mOrder.clear();
        RandomGenerator random = new Random(seed);
        mPlaces.mFree = 1 + random.nextInt(5);
        FairAdmission admission = admission(5, 12);
        int closed = 0;
        int cancelled = 0;
        for (int i = 0; i < 200; i++) {
            WorkspaceSpec workspace =
                    workspace("w" + random.nextInt(4), 1, new WorkspaceSpec.Limits(50, 1e6, 3));
            Optional<Duration> deadline =
                    random.nextBoolean()
                            ? Optional.empty()
                            : Optional.of(Duration.ofMillis(random.nextInt(3_000)));
            Cancellable handle = ask(admission, "r" + i, workspace, random.nextInt(10), deadline);
            if (random.nextInt(5) == 0 && !mDecisions.containsKey("r" + i)) {
                handle.cancel();
                cancelled++;
            }
            mScheduler.advance(Duration.ofMillis(random.nextInt(60)));
            while (closed < mOrder.size() && random.nextInt(3) > 0) {
                close(mOrder.get(closed++));
            }
        }
        while (closed < mOrder.size()) {
            close(mOrder.get(closed++));
        }
        mScheduler.advance(Duration.ofSeconds(40));
        assertEquals(200 - cancelled, mDecisions.size());
        assertEquals(0, admission.waiting());
    }
}
