package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.member.MemberCluster;
import org.amaranthpick.core.member.Membership;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;

/**
 * Daemons of several domains that share one store. Each domain reaches it through a {@link
 * FaultyStore} of its own, and so does the publisher.
 */
final class ConfigurationCluster {
    private static final Duration STORE_DELAY = Duration.ofMillis(5);
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(500);

    final MemberCluster mMembers;
    final MemoryObjectStore mSharedStore = new MemoryObjectStore();
    final Invariants mInvariants = new Invariants();
    final List<ConfigurationService> mServices = new ArrayList<>();
    final Map<Identity, FaultyStore> mStoreByDomain = new HashMap<>();
    final FaultyStore mPublisherStore;
    private final int mPerDomain;
    private final List<Long> mHighestGenerations = new ArrayList<>();
    private int mPublications;

    ConfigurationCluster(long seed, int domains, int perDomain) {
        mPerDomain = perDomain;
        mMembers = new MemberCluster(seed, domains, perDomain, ConfigurationCodecs.all());
        mPublisherStore = new FaultyStore(mSharedStore, mMembers.mScheduler, STORE_DELAY);
        for (int i = 0; i < domains * perDomain; i++) {
            mServices.add(startService(i));
            mHighestGenerations.add(0L);
        }
        sendProgress();
    }

    int size() {
        return mServices.size();
    }

    FaultyStore storeOf(int domain) {
        return mStoreByDomain.computeIfAbsent(
                MemberCluster.domain(domain),
                d -> new FaultyStore(mSharedStore, mMembers.mScheduler, STORE_DELAY));
    }

    /** Replaces a daemon with a new process on the same host. */
    void restart(int number) {
        mServices.get(number).close();
        mMembers.mDaemons.get(number).close();
        mMembers.mDaemons.set(
                number,
                mMembers.start(
                        MemberCluster.host(number),
                        MemberCluster.address(number),
                        MemberCluster.domain(number / mPerDomain)));
        mServices.set(number, startService(number));
    }

    CompletionStage<PublishResult> publish(int marker) {
        WriterTokens tokens = new WriterTokens("operator", ++mPublications);
        ConfigurationStore store =
                new ConfigurationStore(mPublisherStore, mMembers.mScheduler, tokens);
        return store.publish(Manifests.of(40, marker), OptionalLong.empty());
    }

    /** Publishes and returns the accepted generation. */
    long publishAccepted(int marker) {
        List<PublishResult> results = new ArrayList<>();
        publish(marker).thenAccept(results::add);
        mMembers.run(Duration.ofMillis(200));
        return ((PublishResult.Accepted) results.get(0)).generation();
    }

    /** Advances the time and checks that the generation of no ready daemon decreases. */
    void run(Duration time) {
        Duration step = Duration.ofMillis(100);
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(step)) {
            mMembers.run(step);
            checkGenerations();
        }
    }

    long countInForce(long generation) {
        return mServices.stream().filter(s -> s.generation() >= generation).count();
    }

    private void checkGenerations() {
        for (int i = 0; i < mServices.size(); i++) {
            long generation = mServices.get(i).generation();
            boolean ready = mServices.get(i).isReady();
            if (generation < mHighestGenerations.get(i) && ready) {
                throw new AssertionError("daemon " + i + " went back to generation " + generation);
            }
            mHighestGenerations.set(i, Math.max(generation, mHighestGenerations.get(i)));
        }
        if (mInvariants.total() > 0) {
            throw new AssertionError("an invariant was violated");
        }
    }

    private ConfigurationService startService(int number) {
        Identity host = MemberCluster.host(number);
        Membership membership = mMembers.mDaemons.get(number);
        ConfigurationStore store =
                new ConfigurationStore(
                        storeOf(number / mPerDomain),
                        mMembers.schedulerOf(host),
                        new WriterTokens(host.key(), 1));
        ConfigurationService service =
                new ConfigurationService(
                        store,
                        new ConfigurationInForce(mInvariants, (kind, subject, text) -> {}),
                        membership,
                        mMembers.mEndpoints.get(host),
                        mMembers.schedulerOf(host),
                        mMembers.mRandom.split());
        membership.setGenerationExchange(service);
        service.start();
        return service;
    }

    private void sendProgress() {
        mSharedStore.sendProgress();
        mMembers.mScheduler.schedule(PROGRESS_PERIOD, this::sendProgress);
    }
}
