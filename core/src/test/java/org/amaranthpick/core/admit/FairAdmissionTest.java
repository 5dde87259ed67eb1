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
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FairAdmissionTest {
    private static final WorkspaceSpec.Limits UNLIMITED =
            new WorkspaceSpec.Limits(1e6, 1e9, 10_000);

    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final FixedGate mGate = new FixedGate(4);
    private final Map<String, AdmissionDecision> mDecisions = new HashMap<>();
    private final List<String> mAdmittedIds = new ArrayList<>();

    /** Gate that bounds all requests by a fixed number. */
    private static final class FixedGate implements CapacityGate {
        private int mFree;

        FixedGate(int free) {
            mFree = free;
        }

        @Override
        public boolean tryAcquire(String group, int priority) {
            return mFree > 0 && mFree-- > 0;
        }

        @Override
        public void release(String group) {
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
        return new FairAdmission(settings, new LocalLimits(mScheduler), mGate, mScheduler);
    }

    private static WorkspaceSpec workspace(String name, int weight, WorkspaceSpec.Limits limits) {
        return new WorkspaceSpec(
                FleetFixture.id(ResourceKind.WORKSPACE, name),
                List.of(),
                limits,
                weight,
                List.of(),
                List.of());
    }

    private Cancellable request(
            FairAdmission admission,
            String id,
            WorkspaceSpec workspace,
            int priority,
            Optional<Duration> deadline) {
        AdmissionRequest admissionRequest =
                new AdmissionRequest(
                        id,
                        workspace,
                        "model",
                        100,
                        priority,
                        deadline.map(timeLeft -> mScheduler.instant().plus(timeLeft)));
        return admission.request(
                admissionRequest,
                decision -> {
                    assertEquals(null, mDecisions.put(id, decision), "decided twice: " + id);
                    if (decision instanceof AdmissionDecision.Admitted) {
                        mAdmittedIds.add(id);
                    }
                });
    }

    private void close(String id) {
        assertInstanceOf(AdmissionDecision.Admitted.class, mDecisions.get(id)).permit().close();
    }

    /** Ends the running requests one after the other, at intervals of 100 ms. */
    private void serve(int requests) {
        int next = 0;
        for (int i = 0; i < requests && next < mAdmittedIds.size(); i++) {
            mScheduler.advance(Duration.ofMillis(100));
            close(mAdmittedIds.get(next++));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "3, 1", "1, 4"})
    void workspacesShareByWeight(int weightA, int weightB) {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 400; i++) {
            request(admission, "a" + i, workspace("a", weightA, UNLIMITED), 3, Optional.empty());
        }
        for (int i = 0; i < 400; i++) {
            request(admission, "b" + i, workspace("b", weightB, UNLIMITED), 3, Optional.empty());
        }
        serve(200);
        long a = mAdmittedIds.stream().skip(8).filter(id -> id.startsWith("a")).count();
        long b = mAdmittedIds.stream().skip(8).filter(id -> id.startsWith("b")).count();
        double expected = (double) weightA / (weightA + weightB);
        assertEquals(expected, a / (double) (a + b), 0.05);
    }

    /**
     * An urgent request of a workspace that uses less than its share overtakes a long queue of
     * another workspace.
     */
    @Test
    void urgentRequestOvertakesTheQueue() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 500; i++) {
            request(admission, "a" + i, workspace("a", 1, UNLIMITED), 1, Optional.empty());
        }
        serve(50);
        request(admission, "urgent", workspace("b", 1, UNLIMITED), 9, Optional.empty());
        int admittedBefore = mAdmittedIds.size();
        close(mAdmittedIds.get(admittedBefore - 1));
        assertEquals("urgent", mAdmittedIds.get(admittedBefore));
    }

    /**
     * A steady supply of urgent requests does not starve requests of low priority, whether of the
     * same or of another workspace.
     */
    @ParameterizedTest
    @ValueSource(strings = {"same", "other"})
    void lowPriorityDoesNotStarve(String workspace) {
        FairAdmission admission = admission(1_000, 10_000);
        WorkspaceSpec busy = workspace("busy", 1, UNLIMITED);
        WorkspaceSpec lowWorkspace =
                workspace.equals("same") ? busy : workspace("low", 1, UNLIMITED);
        for (int i = 0; i < 4; i++) {
            request(admission, "first" + i, busy, 9, Optional.empty());
        }
        request(admission, "low", lowWorkspace, 0, Optional.empty());
        int next = 0;
        int rounds = 0;
        while (!mAdmittedIds.contains("low")) {
            request(admission, "u" + rounds + "-1", busy, 9, Optional.empty());
            request(admission, "u" + rounds + "-2", busy, 9, Optional.empty());
            mScheduler.advance(Duration.ofMillis(50));
            close(mAdmittedIds.get(next++));
            rounds++;
            assertTrue(rounds < 600, "not served after 600 rounds");
        }
    }

    /**
     * A request whose deadline cannot be met is refused immediately, with a time to retry after.
     */
    @Test
    void unreachableDeadlineIsRefusedImmediately() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 300; i++) {
            request(admission, "a" + i, workspace("a", 1, UNLIMITED), 3, Optional.empty());
        }
        serve(40);
        request(
                admission,
                "hopeless",
                workspace("a", 1, UNLIMITED),
                3,
                Optional.of(Duration.ofSeconds(1)));
        AdmissionDecision.Refused refused =
                assertInstanceOf(AdmissionDecision.Refused.class, mDecisions.get("hopeless"));
        assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refused.reason());
        Duration retryAfter = refused.retryAfter().orElseThrow();
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(15)) > 0, "after " + retryAfter);
        request(
                admission,
                "patient",
                workspace("a", 1, UNLIMITED),
                3,
                Optional.of(Duration.ofHours(1)));
        assertEquals(null, mDecisions.get("patient"));
    }

    /**
     * A waiting request is refused when its deadline passes, even if it is not the next to start.
     */
    @Test
    void waitEndsAtTheDeadline() {
        FairAdmission admission = admission(1_000, 10_000);
        for (int i = 0; i < 4; i++) {
            request(admission, "a" + i, workspace("a", 1, UNLIMITED), 3, Optional.empty());
        }
        request(
                admission,
                "late",
                workspace("a", 1, UNLIMITED),
                3,
                Optional.of(Duration.ofSeconds(2)));
        mScheduler.advance(Duration.ofMillis(1_999));
        assertEquals(null, mDecisions.get("late"));
        mScheduler.advance(Duration.ofMillis(2));
        assertInstanceOf(AdmissionDecision.Refused.class, mDecisions.get("late"));
        assertEquals(0, admission.waitingRequests());
    }

    @ParameterizedTest
    @CsvSource({"10, 1000", "1000, 10"})
    void queueIsBounded(int maxPerWorkspace, int maxWaiting) {
        FairAdmission admission = admission(maxPerWorkspace, maxWaiting);
        for (int i = 0; i < 100; i++) {
            request(admission, "a" + i, workspace("a", 1, UNLIMITED), 3, Optional.empty());
        }
        assertEquals(10, admission.waitingRequests());
        request(admission, "b", workspace("b", 1, UNLIMITED), 3, Optional.empty());
        assertEquals(null, mDecisions.get("b"), "a full queue makes room for another workspace");
        assertEquals(14 + (maxWaiting == 10 ? 0 : 1), waitingAndRunning(admission));
    }

    private int waitingAndRunning(FairAdmission admission) {
        return admission.waitingRequests() + mAdmittedIds.size();
    }

    /** The limits of a workspace apply even if the gate has free capacity. */
    @ParameterizedTest
    @CsvSource({"1000000, 1000000000, 2, 2", "10, 1000000000, 1000, 110", "1000000, 500, 1000, 55"})
    void limitsApplyDespiteFreeCapacity(
            double requests, double tokens, int concurrent, int expected) {
        mGate.mFree = 10_000;
        FairAdmission admission = admission(1_000, 10_000);
        WorkspaceSpec limited =
                workspace("a", 1, new WorkspaceSpec.Limits(requests, tokens, concurrent));
        for (int i = 0; i < 300; i++) {
            request(admission, "a" + i, limited, 3, Optional.of(Duration.ofHours(1)));
        }
        mScheduler.advance(Duration.ofSeconds(10));
        assertEquals(expected, mAdmittedIds.size(), 0.05 * expected);
    }

    /**
     * Every request that is not cancelled is decided exactly once, and no request is left in the
     * queue.
     */
    @Property(seed = "20260108", tries = 100)
    void everyRequestIsDecidedOnce(@ForAll int seed) {
        mDecisions.clear();
        mAdmittedIds.clear();
        RandomGenerator random = new Random(seed);
        mGate.mFree = 1 + random.nextInt(5);
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
            Cancellable handle =
                    request(admission, "r" + i, workspace, random.nextInt(10), deadline);
            if (random.nextInt(5) == 0 && !mDecisions.containsKey("r" + i)) {
                handle.cancel();
                cancelled++;
            }
            mScheduler.advance(Duration.ofMillis(random.nextInt(60)));
            while (closed < mAdmittedIds.size() && random.nextInt(3) > 0) {
                close(mAdmittedIds.get(closed++));
            }
        }
        while (closed < mAdmittedIds.size()) {
            close(mAdmittedIds.get(closed++));
        }
        mScheduler.advance(Duration.ofSeconds(40));
        assertEquals(200 - cancelled, mDecisions.size());
        assertEquals(0, admission.waitingRequests());
    }
}
