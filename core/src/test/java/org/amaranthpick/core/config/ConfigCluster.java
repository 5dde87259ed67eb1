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

/** Daemons of several domains with one store, each domain on a path of its own to it. */
final class ConfigCluster {
    private static final Duration STORE_DELAY = Duration.ofMillis(5);
    private static final Duration PROGRESS_PERIOD = Duration.ofMillis(500);

    final MemberCluster mMembers;
    final MemoryObjectStore mMemory = new MemoryObjectStore();
    final Invariants mInvariants = new Invariants();
    final List<ConfigurationService> mServices = new ArrayList<>();
    final Map<Identity, FaultyStore> mPaths = new HashMap<>();
    final FaultyStore mOperatorPath;
    private final int mPerDomain;
    private final List<Long> mSeen = new ArrayList<>();
    private int mOperators;

    ConfigCluster(long seed, int domains, int perDomain) {
        mPerDomain = perDomain;
        mMembers = new MemberCluster(seed, domains, perDomain, ConfigCodecs.all());
        mOperatorPath = new FaultyStore(mMemory, mMembers.mScheduler, STORE_DELAY);
        for (int i = 0; i < domains * perDomain; i++) {
            mServices.add(startService(i));
            mSeen.add(0L);
        }
        tellProgress();
    }

    int size() {
        return mServices.size();
    }

    FaultyStore pathOf(int domain) {
        return mPaths.computeIfAbsent(
                MemberCluster.domain(domain),
                d -> new FaultyStore(mMemory, mMembers.mScheduler, STORE_DELAY));
    }

    /** Replaces a daemon by a new process on the same host. */
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
        WriterTokens tokens = new WriterTokens("operator", ++mOperators);
        ConfigurationStore store =
                new ConfigurationStore(mOperatorPath, mMembers.mScheduler, tokens);
        return store.publish(Manifests.of(40, marker), OptionalLong.empty());
    }

    /** Publishes and returns the generation accepted. */
    long publishNow(int marker) {
        List<PublishResult> results = new ArrayList<>();
        publish(marker).thenAccept(results::add);
        mMembers.run(Duration.ofMillis(200));
        return ((PublishResult.Accepted) results.get(0)).generation();
    }

    /** Advances the time; the generation of a process must never fall meanwhile. */
    void run(Duration time) {
        Duration step = Duration.ofMillis(100);
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(step)) {
            mMembers.run(step);
            checkGenerations();
        }
    }

    long inForce(long generation) {
        return mServices.stream().filter(s -> s.generation() >= generation).count();
    }

    private void checkGenerations() {
        for (int i = 0; i < mServices.size(); i++) {
            long now = mServices.get(i).generation();
            boolean ready = mServices.get(i).isReady();
            if (now < mSeen.get(i) && ready) {
                throw new AssertionError("daemon " + i + " fell to generation " + now);
            }
            mSeen.set(i, Math.max(now, mSeen.get(i)));
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
                        pathOf(number / mPerDomain),
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
        membership.exchangeGenerations(service);
        service.start();
        return service;
    }

    private void tellProgress() {
        mMemory.tellProgress();
        mMembers.mScheduler.schedule(PROGRESS_PERIOD, this::tellProgress);
    }
}
