package org.amaranthpick.server.daemon;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;

/** Membership of a daemon that knows only itself. */
final class SoloMembers implements MemberView {
    private final Member mSelf;

    SoloMembers(Settings settings, long incarnation) {
        mSelf =
                new Member(
                        settings.host(),
                        settings.peerAddress(),
                        settings.domain(),
                        settings.region(),
                        incarnation,
                        MemberState.ALIVE);
    }

    @Override
    public Member self() {
        return mSelf;
    }

    @Override
    public List<Member> members() {
        return List.of(mSelf);
    }

    @Override
    public Optional<Member> member(Identity host) {
        return Optional.of(mSelf).filter(self -> self.host().equals(host));
    }
}
