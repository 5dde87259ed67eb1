package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.type.TypeReference;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amaranthpick.core.quarantine.PromptQuarantine;
import org.amaranthpick.core.quarantine.QuarantineGossip;
import org.amaranthpick.core.quarantine.QuarantineMessage;
import org.amaranthpick.core.register.HealthGossip;
import org.amaranthpick.core.register.HealthNote;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** Messages of other daemons with some odd bytes: no exception escapes, and sound ones count. */
class OddMessagesTest {
    private static final int CASES = 5000;
    private static final int MAX_MUTATIONS = 3;
    private static final String STRUCTURE = "{}[],:\"\\-.e9\u0001ntf";
    private static final String NOTES =
            "[{\"origin\":\"h-1\",\"startedAtNs\":17,\"number\":3,\"upstreamId\":\"e-1\","
                    + "\"kind\":\"UNREACHABLE\"},{\"origin\":\"h-2\",\"startedAtNs\":18,"
                    + "\"number\":4,\"upstreamId\":\"e-2\",\"kind\":\"REFUSED\"}]";
    private static final String REPORTS =
            "{\"sender\":\"10.0.0.2:1\",\"wantsReply\":true,\"reports\":[{\"part\":\"p-1\","
                    + "\"crashAgesMs\":{\"e-1\":40,\"e-2\":50},\"soundAgeMs\":-1,"
                    + "\"sharedParts\":[\"s-1\"]}]}";

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final SplittableRandom mRandom = new SplittableRandom(29);
    private final XnioWorker mWorker = Workers.start();
    private final HttpConnector mConnector =
            new HttpConnector(
                    mWorker,
                    mScheduler,
                    new ConnectorSettings(1, 1, Duration.ofSeconds(1), Duration.ZERO));

    @AfterEach
    void stop() {
        mConnector.close();
        mWorker.shutdownNow();
    }

    private byte[] mutated(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int left = mRandom.nextInt(1, MAX_MUTATIONS + 1); left > 0; left--) {
            bytes[mRandom.nextInt(bytes.length)] =
                    mRandom.nextBoolean()
                            ? (byte) mRandom.nextInt()
                            : (byte) STRUCTURE.charAt(mRandom.nextInt(STRUCTURE.length()));
        }
        return bytes;
    }

    private boolean isQuarantined(PromptQuarantine quarantine, String part) {
        return quarantine.timeLeft(List.of(part), mScheduler.monotonicNs()).isPresent();
    }

    @Test
    void notesOnTheHealthOfUpstreams() {
        UpstreamHealth health = new UpstreamHealth();
        HealthGossip gossip =
                new HealthGossip(
                        "h", health, () -> 100, List::of, (peer, notes) -> {}, mScheduler, mRandom);
        PeerMessageLink<HealthNote[]> link =
                new PeerMessageLink<>(mConnector, "/health-notes", new TypeReference<>() {});
        link.setReceiver(notes -> gossip.onNotes(List.of(notes)));
        for (int number = 0; number < CASES; number++) {
            link.accept(mutated(NOTES));
            mScheduler.advance(Duration.ofMillis(100));
        }
        mScheduler.advance(Duration.ofSeconds(60));
        assertTrue(link.accept(NOTES.replace("17", "99").getBytes(StandardCharsets.UTF_8)));
        assertTrue(health.excluded("e-1", mScheduler.monotonicNs()), "the sound note counts");
    }

    @Test
    void reportsOnPrompts() {
        PromptQuarantine quarantine = new PromptQuarantine();
        List<QuarantineMessage> sent = new ArrayList<>();
        QuarantineGossip gossip =
                new QuarantineGossip(
                        "10.0.0.1:1",
                        quarantine,
                        () -> List.of("10.0.0.2:1"),
                        (peer, message, onFailed) -> sent.add(message),
                        mScheduler,
                        mRandom);
        PeerMessageLink<QuarantineMessage> link =
                new PeerMessageLink<>(mConnector, "/quarantine", new TypeReference<>() {});
        link.setReceiver(gossip::onMessage);
        for (int number = 0; number < CASES; number++) {
            link.accept(mutated(REPORTS));
            mScheduler.advance(Duration.ofMillis(100));
        }
        String ages = "\"e-7\":1,\"e-8\":2,\"e-9\":3";
        String sound = REPORTS.replace("\"e-1\":40,\"e-2\":50", ages).replace("p-1", "p-9");
        assertTrue(link.accept(sound.getBytes(StandardCharsets.UTF_8)));
        assertTrue(isQuarantined(quarantine, "p-9"), "the sound report counts");
        mScheduler.advance(Duration.ofSeconds(1));
        assertTrue(
                sent.stream()
                        .flatMap(message -> message.reports().stream())
                        .anyMatch(report -> report.part().equals("p-9")),
                "it is passed on");
    }

    /** An age beyond the range of the clock read as a crash to come. */
    @Test
    void agesBeyondTheClockDoNotCount() {
        PromptQuarantine quarantine = new PromptQuarantine();
        QuarantineGossip gossip =
                new QuarantineGossip(
                        "", quarantine, List::of, (peer, message, f) -> {}, mScheduler, mRandom);
        PeerMessageLink<QuarantineMessage> link =
                new PeerMessageLink<>(mConnector, "/quarantine", new TypeReference<>() {});
        link.setReceiver(gossip::onMessage);
        for (String age : List.of("9223372036854", "9223372036854775807")) {
            String ages = String.format("\"e-7\":%1$s,\"e-8\":%1$s,\"e-9\":%1$s", age);
            String odd = REPORTS.replace("\"e-1\":40,\"e-2\":50", ages);
            assertTrue(link.accept(odd.getBytes(StandardCharsets.UTF_8)));
            assertTrue(!isQuarantined(quarantine, "p-1"), age);
        }
    }
}
