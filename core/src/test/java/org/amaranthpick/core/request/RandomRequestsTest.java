package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;

/**
 * Guards against wrong outcomes and leaked permits or claims: many requests of all kinds run at
 * once, with random faults, pauses, cancellations and deadlines, followed by a drain.
 */
class RandomRequestsTest {
    private static final int REQUESTS = 30;
    private static final int ACTIONS = 80;
    private static final Duration SETTLE_TIME = Duration.ofMinutes(5);

    @Property(tries = 300, seed = "31", shrinking = ShrinkingMode.OFF)
    void everyRequestHasOneTrueOutcomeAndReleasesItsResources(@ForAll long seed) {
        Random random = new Random(seed);
        RequestFixture fixture = new RequestFixture(new InMemoryClaims());
        fixture.mRetries.mRetriesLeft = Integer.MAX_VALUE;
        fixture.mUpstreams.setScript(call -> script(random));
        List<Submitted> submissions = new ArrayList<>();
        for (int i = 0; i < ACTIONS; i++) {
            if (submissions.size() < REQUESTS) {
                submissions.add(submit(fixture, random, submissions.size()));
            }
            applyRandomAction(fixture, random, submissions.get(random.nextInt(submissions.size())));
            fixture.mScheduler.advance(Duration.ofMillis(random.nextInt(120)));
        }
        fixture.mUpstreams.setScript(call -> Script.NONE);
        fixture.mScheduler.advance(SETTLE_TIME);
        submissions.forEach(submitted -> check(fixture, submitted));
        assertEquals(0, fixture.mInvariants.total());
        assertEquals(0, fixture.mRouter.requestsInProgress());
        assertEquals(0, fixture.mAdmission.mHeldPermits);
        assertEquals(0, fixture.mFeedback.mChainsInUse);
        assertTrue(fixture.mRouter.drain().toCompletableFuture().isDone());
    }

    private record Submitted(ModelRequest request, RecordingSink sink, RequestHandle handle) {}

    private static Script script(Random random) {
        Step[] steps = Step.values();
        Fault[] faults = Fault.values();
        return random.nextBoolean()
                ? Script.NONE
                : new Script(
                        steps[random.nextInt(steps.length)], faults[random.nextInt(faults.length)]);
    }

    private static Submitted submit(RequestFixture fixture, Random random, int number) {
        boolean idempotent = random.nextInt(3) > 0;
        Optional<String> key =
                random.nextBoolean() ? Optional.of("k" + random.nextInt(8)) : Optional.empty();
        Instant deadline = fixture.mScheduler.instant().plusMillis(50 + random.nextInt(5_000));
        ModelRequest request =
                fixture.request(
                        "r" + number,
                        idempotent,
                        key,
                        random.nextInt(4) == 0 ? Optional.of(deadline) : Optional.empty());
        RecordingSink sink = new RecordingSink();
        return new Submitted(request, sink, fixture.mRouter.submit(request, sink));
    }

    private static void applyRandomAction(
            RequestFixture fixture, Random random, Submitted submitted) {
        switch (random.nextInt(12)) {
            case 0 -> submitted.handle().cancel();
            case 1, 2 -> submitted.handle().pause();
            case 3, 4, 5 -> submitted.handle().resume();
            case 6 -> deliverLateFrame(fixture, random);
            default -> {}
        }
    }

    private static void deliverLateFrame(RequestFixture fixture, Random random) {
        List<FakeUpstreams.Stream> streams = fixture.mUpstreams.streams();
        if (!streams.isEmpty()) {
            streams.get(random.nextInt(streams.size()))
                    .deliverLate(random.nextInt(FakeUpstreams.TOKENS));
        }
    }

    private static void check(RequestFixture fixture, Submitted submitted) {
        String id = submitted.request().requestId();
        Outcome outcome = submitted.sink().outcome();
        String text = submitted.sink().text();
        long runs = fixture.mUpstreams.runs(id);
        assertTrue(RequestFixture.fullAnswer(id).startsWith(text), id);
        if (!submitted.request().idempotent()) {
            assertTrue(runs <= 1, id + " ran " + runs + " times");
        }
        if (outcome instanceof Outcome.Answered) {
            assertEquals(RequestFixture.fullAnswer(id), text);
        } else if (outcome instanceof Outcome.Interrupted interrupted) {
            assertEquals(submitted.sink().tokens(), interrupted.tokens());
        } else {
            assertEquals(0, runs, () -> id + " ran and was reported as " + outcome);
        }
    }
}
