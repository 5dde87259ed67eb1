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
    private final MemoryObjectStore mSharedStore = new MemoryObjectStore();
    private final FaultyStore mStore =
            new FaultyStore(mSharedStore, mScheduler, Duration.ofMillis(5));
    private final ConfigurationStore mFirstOperator = operator("operator-1");
    private final ConfigurationStore mSecondOperator = operator("operator-2");

    @Test
    void loadsThePublishedManifest() {
        Manifest manifest = Manifests.of(1400, 7);
        publish(mFirstOperator, manifest, OptionalLong.empty());
        LoadResult result = await(mFirstOperator.load());
        Configuration loaded = assertInstanceOf(LoadResult.Loaded.class, result).configuration();
        assertEquals(manifest, loaded.manifest());
        assertEquals(1, loaded.generation());
    }

    @Test
    void writesChangedChunksOnly() {
        publish(mFirstOperator, Manifests.of(1400, 1), OptionalLong.empty());
        PublishResult result = publish(mFirstOperator, Manifests.of(1400, 2), OptionalLong.of(1));
        PublishResult.Accepted accepted = assertInstanceOf(PublishResult.Accepted.class, result);
        assertEquals(2, accepted.generation());
        assertEquals(1, accepted.chunksWritten());
    }

    @Test
    void reportsUnchangedForEqualContent() {
        publish(mFirstOperator, Manifests.of(3, 1), OptionalLong.empty());
        assertInstanceOf(
                PublishResult.Unchanged.class,
                publish(mSecondOperator, Manifests.of(3, 1), OptionalLong.empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 2})
    void conflictsOnUnexpectedGeneration(long expected) {
        publish(mFirstOperator, Manifests.of(3, 1), OptionalLong.empty());
        PublishResult result =
                publish(mSecondOperator, Manifests.of(3, 2), OptionalLong.of(expected));
        PublishResult.Conflict conflict = assertInstanceOf(PublishResult.Conflict.class, result);
        assertEquals("operator-1", conflict.present().writer().host());
    }

    @Test
    void conflictNamesTheWinningWriter() {
        publish(mFirstOperator, Manifests.of(3, 1), OptionalLong.empty());
        List<PublishResult> winner = new ArrayList<>();
        mStore.mBeforeRootWrite =
                () -> winner.add(publish(mSecondOperator, Manifests.of(3, 2), expect(1)));
        PublishResult result = publish(mFirstOperator, Manifests.of(3, 3), expect(1));
        PublishResult.Conflict conflict = assertInstanceOf(PublishResult.Conflict.class, result);
        assertEquals("operator-2", conflict.present().writer().host());
        assertInstanceOf(PublishResult.Accepted.class, winner.get(0));
    }

    @ParameterizedTest
    @CsvSource({"1,0", "0,1", "2,0", "0,3", "2,2"})
    void resolvesLostAnswersByReadingBack(int answersLost, int requestsLost) {
        mStore.mRootAnswersToLose = answersLost;
        mStore.mRootRequestsToLose = requestsLost;
        PublishResult result = publish(mFirstOperator, Manifests.of(3, 5), OptionalLong.empty());
        assertEquals(1, assertInstanceOf(PublishResult.Accepted.class, result).generation());
        assertInstanceOf(LoadResult.Loaded.class, await(mFirstOperator.load()));
    }

    @Test
    void recognizesItsWriteUnderALaterGeneration() {
        mStore.mRootAnswersToLose = 1;
        List<PublishResult> results = new ArrayList<>();
        mFirstOperator.publish(Manifests.of(3, 1), OptionalLong.empty()).thenAccept(results::add);
        mScheduler.advance(Duration.ofMillis(100));
        publish(mSecondOperator, Manifests.of(3, 2), OptionalLong.empty());
        mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(
                1, assertInstanceOf(PublishResult.Accepted.class, results.get(0)).generation());
    }

    @Test
    void reportsUnsettledAfterAWriteOfUnknownOutcome() {
        mStore.mRootAnswersToLose = 1;
        List<PublishResult> results = new ArrayList<>();
        mFirstOperator.publish(Manifests.of(3, 1), OptionalLong.empty()).thenAccept(results::add);
        mScheduler.advance(Duration.ofMillis(100));
        mStore.mDown = true;
        mScheduler.advance(ConfigurationStore.PUBLISH_TIMEOUT.multipliedBy(2));
        assertInstanceOf(PublishResult.Unsettled.class, results.get(0));
    }

    @Test
    void reportsUnavailableIfNothingWasWritten() {
        mStore.mDown = true;
        assertInstanceOf(
                PublishResult.Unavailable.class,
                publish(mFirstOperator, Manifests.of(3, 1), OptionalLong.empty()));
    }

    @Test
    void keepsChunksReusedByAConcurrentPublication() {
        for (int marker : new int[] {1, 2}) {
            publish(mFirstOperator, Manifests.of(3, marker), OptionalLong.empty());
        }
        mStore.mBeforeDelete =
                () -> publish(mSecondOperator, Manifests.of(3, 1), OptionalLong.empty());
        publish(mFirstOperator, Manifests.of(3, 3), OptionalLong.empty());
        LoadResult result = await(mFirstOperator.load());
        assertEquals(
                1,
                Manifests.marker(
                        assertInstanceOf(LoadResult.Loaded.class, result).configuration()));
    }

    @Test
    void deletesChunksOfOldGenerations() {
        for (int marker = 1; marker <= 20; marker++) {
            publish(mFirstOperator, Manifests.of(300, marker), OptionalLong.empty());
        }
        ListResult listed = await(mSharedStore.list(ConfigurationStore.CHUNK_PREFIX));
        int chunks = ManifestChunks.split(Manifests.of(300, 1)).chunks().size();
        assertTrue(((ListResult.Listed) listed).objects().size() <= chunks + 2);
    }

    private ConfigurationStore operator(String name) {
        return new ConfigurationStore(mStore, mScheduler, new WriterTokens(name, 1));
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
