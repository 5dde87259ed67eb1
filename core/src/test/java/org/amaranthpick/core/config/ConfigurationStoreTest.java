package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationStoreTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final MemoryObjectStore mMemory = new MemoryObjectStore();
    private final FaultyStore mFaulty = new FaultyStore(mMemory, mScheduler, Duration.ofMillis(5));
    private final ConfigurationStore mFirst = operator("operator-1");
    private final ConfigurationStore mSecond = operator("operator-2");

    @Test
    void loadsWhatWasPublished() {
        Manifest manifest = Manifests.of(1400, 7);
        publish(mFirst, manifest, OptionalLong.empty());
        LoadResult result = await(mFirst.load());
        Configuration loaded = assertInstanceOf(LoadResult.Loaded.class, result).configuration();
        assertEquals(manifest, loaded.manifest());
        assertEquals(1, loaded.generation());
    }

    @Test
    void writesChangedChunksOnly() {
        publish(mFirst, Manifests.of(1400, 1), OptionalLong.empty());
        PublishResult result = publish(mFirst, Manifests.of(1400, 2), OptionalLong.of(1));
        PublishResult.Accepted accepted = assertInstanceOf(PublishResult.Accepted.class, result);
        assertEquals(2, accepted.generation());
        assertEquals(1, accepted.chunksWritten());
    }

    @Test
    void answersUnchangedToTheSameContent() {
        publish(mFirst, Manifests.of(3, 1), OptionalLong.empty());
        assertInstanceOf(
                PublishResult.Unchanged.class,
                publish(mSecond, Manifests.of(3, 1), OptionalLong.empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2})
    void refusesAnotherGenerationThanExpected(long expected) {
        publish(mFirst, Manifests.of(3, 1), OptionalLong.empty());
        PublishResult result = publish(mSecond, Manifests.of(3, 2), OptionalLong.of(expected));
        PublishResult.Conflict conflict = assertInstanceOf(PublishResult.Conflict.class, result);
        assertEquals("operator-1", conflict.present().writer().host());
    }

    @Test
    void tellsTheLoserOfARaceWhoWon() {
        publish(mFirst, Manifests.of(3, 1), OptionalLong.empty());
        List<PublishResult> other = new ArrayList<>();
        mFaulty.mBeforeRootWrite = () -> other.add(publish(mSecond, Manifests.of(3, 2), expect(1)));
        PublishResult result = publish(mFirst, Manifests.of(3, 3), expect(1));
        PublishResult.Conflict conflict = assertInstanceOf(PublishResult.Conflict.class, result);
        assertEquals("operator-2", conflict.present().writer().host());
        assertInstanceOf(PublishResult.Accepted.class, other.get(0));
    }

    @ParameterizedTest
    @CsvSource({"1,0", "0,1", "2,0", "0,3", "2,2"})
    void settlesLostAnswersByReadingBack(int answersLost, int requestsLost) {
        mFaulty.mLoseAnswersAfterWrite = answersLost;
        mFaulty.mLoseRequests = requestsLost;
        PublishResult result = publish(mFirst, Manifests.of(3, 5), OptionalLong.empty());
        assertEquals(1, assertInstanceOf(PublishResult.Accepted.class, result).generation());
        assertInstanceOf(LoadResult.Loaded.class, await(mFirst.load()));
    }

    @Test
    void findsItsWriteUnderALaterGeneration() {
        mFaulty.mLoseAnswersAfterWrite = 1;
        List<PublishResult> results = new ArrayList<>();
        mFirst.publish(Manifests.of(3, 1), OptionalLong.empty()).thenAccept(results::add);
        mScheduler.advance(Duration.ofMillis(100));
        publish(mSecond, Manifests.of(3, 2), OptionalLong.empty());
        mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(
                1, assertInstanceOf(PublishResult.Accepted.class, results.get(0)).generation());
    }

    @Test
    void neverCallsAnUnsettledWriteUnavailable() {
        mFaulty.mLoseAnswersAfterWrite = 1;
        List<PublishResult> results = new ArrayList<>();
        mFirst.publish(Manifests.of(3, 1), OptionalLong.empty()).thenAccept(results::add);
        mScheduler.advance(Duration.ofMillis(100));
        mFaulty.mDown = true;
        mScheduler.advance(ConfigurationStore.PUBLISH_TIMEOUT.multipliedBy(2));
        assertInstanceOf(PublishResult.Unsettled.class, results.get(0));
    }

    @Test
    void saysUnavailableWhenNothingWasAccepted() {
        mFaulty.mDown = true;
        assertInstanceOf(
                PublishResult.Unavailable.class,
                publish(mFirst, Manifests.of(3, 1), OptionalLong.empty()));
    }

    @Test
    void keepsChunksThatAnotherPublicationTakesUpAgain() {
        for (int marker : new int[] {1, 2}) {
            publish(mFirst, Manifests.of(3, marker), OptionalLong.empty());
        }
        mFaulty.mBeforeDelete = () -> publish(mSecond, Manifests.of(3, 1), OptionalLong.empty());
        publish(mFirst, Manifests.of(3, 3), OptionalLong.empty());
        LoadResult result = await(mFirst.load());
        assertEquals(
                1,
                Manifests.marker(
                        assertInstanceOf(LoadResult.Loaded.class, result).configuration()));
    }

    @Test
    void deletesChunksOfOldGenerations() {
        for (int marker = 1; marker <= 20; marker++) {
            publish(mFirst, Manifests.of(300, marker), OptionalLong.empty());
        }
        ListResult listed = await(mMemory.list(ConfigurationStore.CHUNK_PREFIX));
        int chunks = ManifestChunks.split(Manifests.of(300, 1)).chunks().size();
        assertTrue(((ListResult.Listed) listed).objects().size() <= chunks + 2);
    }

    private ConfigurationStore operator(String name) {
        return new ConfigurationStore(mFaulty, mScheduler, new WriterTokens(name, 1));
    }

    private static OptionalLong expect(long generation) {
        return OptionalLong.of(generation);
    }

    private PublishResult publish(
            ConfigurationStore store, Manifest manifest, OptionalLong expectGeneration) {
        return await(store.publish(manifest, expectGeneration));
    }

    private <T> T await(java.util.concurrent.CompletionStage<T> stage) {
        List<T> results = new ArrayList<>();
        stage.thenAccept(results::add);
        for (int i = 0; i < 600 && results.isEmpty(); i++) {
            mScheduler.advance(Duration.ofMillis(100));
        }
        return results.get(0);
    }
}
