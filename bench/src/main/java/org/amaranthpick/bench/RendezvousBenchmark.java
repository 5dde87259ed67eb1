package org.amaranthpick.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Cost of ranking all daemons for one key. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RendezvousBenchmark {
    /** Daemons ranked. */
    @Param({"12", "440"})
    public int daemons;

    private List<Member> mMembers;

    /** Builds the members. */
    @Setup
    public void build() {
        mMembers = new ArrayList<>();
        Identity domain = new Identity("f", ResourceKind.DOMAIN, "d");
        for (int i = 0; i < daemons; i++) {
            Identity host = new Identity("f", ResourceKind.HOST, "h" + i);
            PeerAddress address = new PeerAddress("127.0.0.1", 1000 + i);
            mMembers.add(new Member(host, address, domain, "r", 1, MemberState.ALIVE));
        }
    }

    /**
     * Ranks the members.
     *
     * @return the two highest
     */
    @Benchmark
    public List<Member> rank() {
        return Rendezvous.rank("key", mMembers, 2);
    }
}
