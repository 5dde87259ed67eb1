package org.amaranthpick.core.config;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.ConfigMessage.Notice;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerNetwork;

/**
 * Passes an installed generation on along the trees through which it was heard of. A daemon that
 * learnt of it from the store or from another domain starts a tree. Guarded by the lock of the
 * service.
 */
final class Spread {
    private final DomainRoles mRoles;
    private final PeerNetwork mNetwork;
    private final Set<Identity> mOrigins = new HashSet<>();
    private long mGeneration;
    private long mInstalled;

    Spread(DomainRoles roles, PeerNetwork network) {
        mRoles = roles;
        mNetwork = network;
    }

    void onNotice(Notice notice) {
        if (notice.generation() < mGeneration) {
            return;
        }
        useGeneration(notice.generation());
        boolean first = mOrigins.add(notice.origin());
        if (first && mInstalled == notice.generation()) {
            passOn(notice.origin());
        }
    }

    void onInstalled(long generation, Optional<Identity> peer) {
        useGeneration(generation);
        mInstalled = generation;
        if (mOrigins.isEmpty() && isOutside(peer)) {
            mOrigins.add(mRoles.self().host());
        }
        mOrigins.forEach(this::passOn);
    }

    private void useGeneration(long generation) {
        if (generation > mGeneration) {
            mGeneration = generation;
            mOrigins.clear();
        }
    }

    private boolean isOutside(Optional<Identity> peer) {
        return peer.isEmpty()
                || mRoles.ownDomain().stream()
                        .map(Member::host)
                        .noneMatch(host -> host.equals(peer.get()));
    }

    private void passOn(Identity origin) {
        Identity self = mRoles.self().host();
        for (Identity child : SpreadTree.children(mGeneration, origin, self, mRoles.ownDomain())) {
            mNetwork.send(child, new Notice(mGeneration, origin));
        }
    }
}
