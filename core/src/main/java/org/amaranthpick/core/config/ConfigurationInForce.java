package org.amaranthpick.core.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;

/**
 * Holds the configuration in force in this process. Only a newer generation replaces it.
 * Thread-safe.
 */
public final class ConfigurationInForce implements ConfigurationView {
    private final List<Consumer<Configuration>> mListeners = new CopyOnWriteArrayList<>();
    private final Invariants mInvariants;
    private final DecisionLog mDecisions;
    private volatile Configuration mCurrent;

    /**
     * Creates an empty holder.
     *
     * @param invariants invariants to check on installation
     * @param decisions log that records each installed generation
     */
    public ConfigurationInForce(Invariants invariants, DecisionLog decisions) {
        mInvariants = invariants;
        mDecisions = decisions;
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /**
     * Returns the number of the generation in force.
     *
     * @return generation number, 0 if no configuration is in force yet
     */
    public long generation() {
        Configuration current = mCurrent;
        return current == null ? 0 : current.generation();
    }

    /**
     * Registers a listener for installed configurations.
     *
     * @param listener called after each installation
     */
    public void addListener(Consumer<Configuration> listener) {
        mListeners.add(listener);
    }

    /**
     * Installs a configuration if it is newer than the one in force.
     *
     * @param candidate accepted configuration
     * @return true if it was installed
     */
    public boolean install(Configuration candidate) {
        synchronized (this) {
            Configuration previous = mCurrent;
            if (previous != null && candidate.generation() <= previous.generation()) {
                checkSameContent(previous, candidate);
                return false;
            }
            mCurrent = candidate;
            long previousGeneration = previous == null ? 0 : previous.generation();
            mInvariants.check(
                    Invariant.GENERATION_NEVER_FALLS,
                    generation() > previousGeneration,
                    "generation %s installed after generation %s",
                    generation(),
                    previousGeneration);
        }
        mDecisions.record(
                DecisionKind.CONFIGURATION,
                "generation-" + candidate.generation(),
                "in force, digest " + candidate.digest());
        mListeners.forEach(listener -> listener.accept(candidate));
        return true;
    }

    private void checkSameContent(Configuration current, Configuration candidate) {
        boolean sameGeneration = current.generation() == candidate.generation();
        mInvariants.check(
                Invariant.GENERATION_NEVER_FALLS,
                !sameGeneration || current.digest().equals(candidate.digest()),
                "generation %s is in force with digest %s but was received with digest %s",
                current.generation(),
                current.digest(),
                candidate.digest());
    }
}
