package org.amaranthpick.core.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;

/** Configuration in force in this process. Only a newer generation replaces it. Thread-safe. */
public final class ConfigurationInForce implements ConfigurationView {
    private final List<Consumer<Configuration>> mListeners = new CopyOnWriteArrayList<>();
    private final Invariants mInvariants;
    private final DecisionLog mLog;
    private volatile Configuration mCurrent;

    /**
     * Creates the holder, empty.
     *
     * @param invariants checks of the process
     * @param log told of each installed generation
     */
    public ConfigurationInForce(Invariants invariants, DecisionLog log) {
        mInvariants = invariants;
        mLog = log;
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * Returns the generation in force.
     *
     * @return generation, 0 before the first
     */
    public long generation() {
        Configuration current = mCurrent;
        return current == null ? 0 : current.generation();
    }

    /**
     * Registers a listener of installed configurations.
     *
     * @param listener told after each installation
     */
    public void addListener(Consumer<Configuration> listener) {
        mListeners.add(listener);
    }

    /**
     * Installs a configuration if it is newer than the present one.
     *
     * @param candidate accepted configuration
     * @return true if it was installed
     */
    public boolean install(Configuration candidate) {
        synchronized (this) {
            Configuration before = mCurrent;
            if (before != null && candidate.generation() <= before.generation()) {
                checkSameContent(before, candidate);
                return false;
            }
            mCurrent = candidate;
            long earlier = before == null ? 0 : before.generation();
            mInvariants.check(
                    Invariant.GENERATION_NEVER_FALLS,
                    generation() > earlier,
                    "generation %s after %s",
                    generation(),
                    earlier);
        }
        mLog.record(
                DecisionKind.CONFIGURATION,
                "generation-" + candidate.generation(),
                "in force, digest " + candidate.digest());
        mListeners.forEach(listener -> listener.accept(candidate));
        return true;
    }

    private void checkSameContent(Configuration before, Configuration candidate) {
        boolean sameGeneration = before.generation() == candidate.generation();
        mInvariants.check(
                Invariant.GENERATION_NEVER_FALLS,
                !sameGeneration || before.digest().equals(candidate.digest()),
                "generation %s has digest %s here and %s elsewhere",
                before.generation(),
                before.digest(),
                candidate.digest());
    }
}
