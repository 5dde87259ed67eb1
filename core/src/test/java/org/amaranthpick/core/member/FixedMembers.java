package org.amaranthpick.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** Member view of one daemon whose members are set by the test. */
public final class FixedMembers implements MemberView {
    private final Identity mSelf;
    private List<Member> mMembers;

    public FixedMembers(Identity self, List<Member> members) {
        mSelf = self;
        mMembers = members;
    }

    /** Creates a member in state ALIVE. */
    public static Member member(Identity host, Identity domain, String region) {
        return new Member(
                host, new PeerAddress("127.0.0.1", 1), domain, region, 1, MemberState.ALIVE);
    }

    public void set(List<Member> members) {
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::host));
        mMembers = sorted;
    }

    @Override
    public Member self() {
        return member(mSelf).orElseThrow();
    }

    @Override
    public List<Member> members() {
        return mMembers;
    }

    @Override
    public Optional<Member> member(Identity host) {
        return mMembers.stream().filter(member -> member.host().equals(host)).findFirst();
    }
}
