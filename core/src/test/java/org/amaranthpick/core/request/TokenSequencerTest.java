package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.upstream.TokenFrame;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lost, repeated or foreign tokens in an answer: feeds random frames of several
 * attempts that are interleaved, duplicated, reordered or belong to other requests.
 */
class TokenSequencerTest {
    private static final int TOKENS = 20;
    private static final Chain CHAIN =
            new Chain(
                    new Identity("f", ResourceKind.MODEL_VERSION, "m"),
                    List.of(hop("a", 0, 3), hop("b", 3, 8)));
    private static final List<LayerRange> TRACE =
            List.of(new LayerRange(0, 3), new LayerRange(3, 8));

    private static Hop hop(String name, int from, int to) {
        Identity upstream = new Identity("f", ResourceKind.UPSTREAM, name);
        return new Hop(upstream, new LayerRange(from, to), new KvSource.Compute());
    }

    @ParameterizedTest
    @CsvSource({
        "0-3|3-8, true",
        "0-8, true",
        "0-1|1-2|2-8, true",
        "0-3, false",
        "0-3|0-3|3-8, false",
        "3-8|0-3, false",
        "0-3|4-8, false",
        "0-3|2-8, false",
        "0-3|3-9, false",
        "0-3|3-8|8-9, false"
    })
    void onlyTracesOfAllLayersOnceInOrderAreComplete(String trace, boolean complete) {
        List<LayerRange> ranges = new ArrayList<>();
        for (String part : trace.split("\\|", -1)) {
            String[] bounds = part.split("-", -1);
            ranges.add(new LayerRange(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1])));
        }
        assertEquals(complete, LayerTrace.isComplete(CHAIN, ranges));
    }

    @Test
    void tokensBeyondTheBufferLimitAreDropped() {
        TokenSequencer sequencer = new TokenSequencer("r", TOKENS, 2);
        sequencer.startAttempt(1, CHAIN);
        List<FrameVerdict> verdicts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            verdicts.add(sequencer.accept(1, new TokenFrame("r", 1, i, "t", TRACE)));
        }
        assertEquals(
                List.of(FrameVerdict.ACCEPTED, FrameVerdict.ACCEPTED, FrameVerdict.OVERFLOW),
                verdicts);
    }

    @Property(tries = 500, seed = "21", shrinking = ShrinkingMode.OFF)
    void everyTokenIsEmittedOnceInOrderFromItsAttempt(@ForAll long seed) {
        TokenSequencer sequencer = new TokenSequencer("r", TOKENS, 1000);
        assertEquals(Optional.empty(), firstViolation(seed, sequencer, sequencer::accept));
    }

    @Property(tries = 1, seed = "22")
    void sequencerWithoutAttemptCheckIsDetected() {
        assertTrue(
                detectsViolation(
                        s ->
                                (attempt, frame) ->
                                        s.accept(s.attempt(), withAttempt(s.attempt(), frame))));
    }

    @Property(tries = 1, seed = "23")
    void sequencerWithoutOwnerCheckIsDetected() {
        assertTrue(
                detectsViolation(
                        s ->
                                (attempt, frame) ->
                                        s.accept(
                                                attempt,
                                                new TokenFrame(
                                                        "r",
                                                        frame.attempt(),
                                                        frame.index(),
                                                        frame.text(),
                                                        frame.trace()))));
    }

    private static TokenFrame withAttempt(int attempt, TokenFrame frame) {
        return new TokenFrame(
                frame.requestId(), attempt, frame.index(), frame.text(), frame.trace());
    }

    private interface FaultyVariant {
        BiFunction<Integer, TokenFrame, FrameVerdict> over(TokenSequencer sequencer);
    }

    private static boolean detectsViolation(FaultyVariant variant) {
        for (long seed = 0; seed < 200; seed++) {
            TokenSequencer sequencer = new TokenSequencer("r", TOKENS, 1000);
            if (firstViolation(seed, sequencer, variant.over(sequencer)).isPresent()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Feeds random frames. Attempt n writes its tokens as {@code n:i}; a token may only come from
     * the attempt that was current when it was accepted.
     */
    private static Optional<String> firstViolation(
            long seed,
            TokenSequencer sequencer,
            BiFunction<Integer, TokenFrame, FrameVerdict> accept) {
        Random random = new Random(seed);
        int attempt = 1;
        int emitted = 0;
        sequencer.startAttempt(attempt, CHAIN);
        for (int step = 0; step < 300; step++) {
            if (random.nextInt(40) == 0) {
                sequencer.startAttempt(++attempt, CHAIN);
            }
            int from = 1 + random.nextInt(attempt);
            int index = Math.max(0, emitted - 2) + random.nextInt(6);
            boolean foreign = random.nextInt(10) == 0;
            TokenFrame frame =
                    new TokenFrame(
                            foreign ? "other" : "r",
                            from,
                            index,
                            foreign ? "foreign" : from + ":" + index,
                            TRACE);
            int before = sequencer.nextIndex();
            var unused = accept.apply(from, frame);
            for (Optional<TokenFrame> next = sequencer.poll();
                    next.isPresent();
                    next = sequencer.poll()) {
                String text = next.get().text();
                if (next.get().index() != emitted || !text.equals(attempt + ":" + emitted)) {
                    return Optional.of(text + " emitted as token " + emitted);
                }
                emitted++;
            }
            if (sequencer.nextIndex() < before || sequencer.nextIndex() != emitted) {
                return Optional.of("accepted " + sequencer.nextIndex() + ", emitted " + emitted);
            }
        }
        return Optional.empty();
    }
}
