package org.amaranthpick.core.admit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Hands out the domain's part of limits while this daemon is the home of their shard. Requests and
 * tokens are amounts from a bucket that starts empty; places are leases. A new home grants no place
 * beyond those already held until every lease of the home before has run out.
 */
final class ShareLedger {
    private static final double BURST_SECONDS = 1;

    private final ShareHomes mHomes;
    private final ConfigurationView mConfiguration;
    private final MemberView mMembers;
    private final Scheduler mScheduler;
    private final Invariants mInvariants;
    private final Map<Long, Book> mBooks = new HashMap<>();
    private ShareParts mParts;
    private ShareParts mOldParts;
    private long mGeneration;
    private long mPartsChangedNs;

    /** What one daemon holds and wants. */
    private record Holding(int places, ShareMessage.AskEntry ask, long sequence, long untilNs) {}

    /** Book of one workspace for one term. */
    private static final class Book {
        private final long mTermNs;
        private final TokenBucket mRequests;
        private final TokenBucket mTokens;
        private boolean mFree;
        private final Map<Identity, Holding> mHoldings = new HashMap<>();

        Book(long termNs, long nowNs) {
            mTermNs = termNs;
            mRequests = new TokenBucket(0, 0, 0, nowNs);
            mTokens = new TokenBucket(0, 0, 0, nowNs);
        }
    }

    ShareLedger(
            ShareHomes homes,
            ConfigurationView configuration,
            MemberView members,
            Scheduler scheduler,
            Invariants invariants) {
        mHomes = homes;
        mConfiguration = configuration;
        mMembers = members;
        mScheduler = scheduler;
        mInvariants = invariants;
    }

    /**
     * Answers an ask.
     *
     * @param from daemon that asks
     * @param ask the ask
     * @return grant for the workspaces whose home this daemon is
     */
    synchronized ShareMessage.Grant grant(Identity from, ShareMessage.Ask ask) {
        List<ShareMessage.GrantEntry> entries = new ArrayList<>();
        Optional<Configuration> configuration = mConfiguration.current();
        if (configuration.isPresent()) {
            learn(configuration.get());
            for (ShareMessage.AskEntry entry : ask.entries()) {
                Optional<Long> since = mHomes.homeSince(ShareHomes.shard(entry.workspace()));
                if (since.isPresent()) {
                    grant(from, entry, ask.sequence(), since.get()).ifPresent(entries::add);
                }
            }
        }
        return new ShareMessage.Grant(ask.sequence(), entries);
    }

    private void learn(Configuration configuration) {
        if (configuration.generation() == mGeneration) {
            return;
        }
        mOldParts = mParts;
        mParts = new ShareParts(configuration);
        mGeneration = configuration.generation();
        mPartsChangedNs = mScheduler.monotonicNs();
    }

    private ShareParts.Part part(long workspace, long nowNs) {
        Identity domain = mMembers.self().domain();
        ShareParts.Part part = mParts.part(workspace, domain);
        boolean changing = nowNs - mPartsChangedNs < ShareTimes.OLD_PARTS.toNanos();
        if (changing && mOldParts != null && mOldParts.workspace(workspace).isPresent()) {
            return part.min(mOldParts.part(workspace, domain));
        }
        return part;
    }

    private Optional<ShareMessage.GrantEntry> grant(
            Identity from, ShareMessage.AskEntry entry, long sequence, long sinceNs) {
        long nowNs = mScheduler.monotonicNs();
        ShareParts.Part part = part(entry.workspace(), nowNs);
        Book book = mBooks.get(entry.workspace());
        if (book == null || book.mTermNs != sinceNs) {
            book = new Book(sinceNs, nowNs);
            mBooks.put(entry.workspace(), book);
        }
        book.mHoldings.values().removeIf(holding -> nowNs >= holding.untilNs());
        Holding before = book.mHoldings.get(from);
        if (before != null && before.sequence() >= sequence) {
            return Optional.empty();
        }
        book.mRequests.setRate(
                part.requestsPerSecond(),
                Math.max(1, part.requestsPerSecond() * BURST_SECONDS),
                nowNs);
        book.mTokens.setRate(part.tokensPerSecond(), part.tokensPerSecond() * BURST_SECONDS, nowNs);
        boolean quiet = isQuiet(book, entry.workspace(), nowNs);
        boolean near = isNear(from);
        int places = places(book, from, entry, part.places(), quiet, near);
        int requests = amount(book, from, book.mRequests.balance(nowNs), entry.requests(), true);
        int tokens = amount(book, from, book.mTokens.balance(nowNs), entry.tokens(), false);
        book.mRequests.add(-requests);
        book.mTokens.add(-tokens);
        long untilNs = nowNs + ShareTimes.LEASE_AT_HOME.toNanos();
        int counted = Math.max(entry.held(), places);
        book.mHoldings.put(from, new Holding(counted, entry, sequence, untilNs));
        check(entry.workspace(), book, part.places());
        return Optional.of(
                new ShareMessage.GrantEntry(entry.workspace(), places, requests, tokens));
    }

    /** Tells whether places granted by a home before may still be in use. */
    private boolean isQuiet(Book book, long workspace, long nowNs) {
        if (book.mFree || nowNs - book.mTermNs >= ShareTimes.LEASE_AT_HOME.toNanos()) {
            return false;
        }
        book.mFree = book.mHoldings.isEmpty() && mHomes.allIdle(ShareHomes.shard(workspace));
        return !book.mFree;
    }

    private static int places(
            Book book,
            Identity from,
            ShareMessage.AskEntry entry,
            int limit,
            boolean quiet,
            boolean near) {
        int others = 0;
        int wanted = entry.places();
        for (Map.Entry<Identity, Holding> holding : book.mHoldings.entrySet()) {
            if (!holding.getKey().equals(from)) {
                others += holding.getValue().places();
                wanted += holding.getValue().ask().places();
            }
        }
        int free = Math.max(0, limit - others);
        if (quiet) {
            return Math.min(entry.held(), free);
        }
        int fair =
                wanted <= limit ? limit : (int) Math.ceil(limit * (double) entry.places() / wanted);
        int open = near ? free : Math.max(Math.min(entry.held(), free), free / 2);
        int share = Math.min(Math.min(entry.places(), Math.max(1, fair)), open);
        return Math.max(share, Math.min(entry.used(), free));
    }

    /** Shares an amount in proportion to what was asked for lately. */
    private static int amount(
            Book book, Identity from, double balance, int wanted, boolean requests) {
        double all = wanted;
        for (Map.Entry<Identity, Holding> other : book.mHoldings.entrySet()) {
            if (!other.getKey().equals(from)) {
                Holding holding = other.getValue();
                all += requests ? holding.ask().requests() : holding.ask().tokens();
            }
        }
        if (wanted <= 0 || balance < 1) {
            return 0;
        }
        double share = all <= balance ? wanted : Math.ceil(balance * wanted / all);
        return (int) Math.min(wanted, Math.min(share, Math.floor(balance)));
    }

    private boolean isNear(Identity host) {
        Identity domain = mMembers.self().domain();
        return mMembers.member(host).map(Member::domain).filter(domain::equals).isPresent();
    }

    private void check(long workspace, Book book, int limit) {
        int sum = book.mHoldings.values().stream().mapToInt(Holding::places).sum();
        boolean changing =
                mScheduler.monotonicNs() - mPartsChangedNs < ShareTimes.OLD_PARTS.toNanos();
        mInvariants.check(
                Invariant.LIMIT_SHARES_WITHIN_LIMIT,
                sum <= limit || (changing && mOldParts != null),
                "%d places handed out of %d for workspace %x",
                sum,
                limit,
                workspace);
    }
}
