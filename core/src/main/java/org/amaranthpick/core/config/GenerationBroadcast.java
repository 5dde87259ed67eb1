package org.amaranthpick.core.config;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.ConfigurationMessage.GenerationNotice;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;

/**
 * Announces installed generations to the other daemons of the domain. A daemon that fetched a
 * generation from the store or from another domain starts a broadcast tree; the others forward the
 * notice along each tree in which they received it, once the generation is installed. Guarded by
 * the lock of the service.
 */
final class GenerationBroadcast {
    private final DomainWatchers mWatchers;
    private final PeerNetwork mNetwork;
    private final Set<Identity> mOrigins = new HashSet<>();
    private long mGeneration;
    private long mInstalledGeneration;

    GenerationBroadcast(DomainWatchers watchers, PeerNetwork network) {
        mWatchers = watchers;
        mNetwork = network;
    }

    void onNotice(GenerationNotice notice) {
        if (notice.generation() < mGeneration) {
            return;
        }
        advanceGeneration(notice.generation());
        boolean first = mOrigins.add(notice.origin());
        if (first && mInstalledGeneration == notice.generation()) {
            forward(notice.origin());
        }
    }

    void onInstalled(long generation, Optional<Identity> peer) {
        advanceGeneration(generation);
        mInstalledGeneration = generation;
        if (mOrigins.isEmpty() && isOutsideDomain(peer)) {
            mOrigins.add(mWatchers.self().host());
        }
        mOrigins.forEach(this::forward);
    }

    private void advanceGeneration(long generation) {
        if (generation > mGeneration) {
            mGeneration = generation;
            mOrigins.clear();
        }
    }

    private boolean isOutsideDomain(Optional<Identity> peer) {
        return peer.isEmpty()
                || mWatchers.ownDomainMembers().stream()
                        .map(Member::host)
                        .noneMatch(host -> host.equals(peer.get()));
    }

    private void forward(Identity origin) {
        Identity self = mWatchers.self().host();
        for (Identity child :
                BroadcastTree.children(mGeneration, origin, self, mWatchers.ownDomainMembers())) {
            mNetwork.send(child, new GenerationNotice(mGeneration, origin));
        }
    }
}
