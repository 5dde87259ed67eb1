package org.amaranthpick.tools.demo;

import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.client.CommandClient;

/** One caller of a soak: asks at random, checks every answer, repeats checkouts. */
final class SoakCaller implements Runnable {
    private static final int MAX_TOKENS = 60;
    private static final int MAX_REPEATS = 3;
    private static final int ANSWER_SECONDS = 60;

    private final String mName;
    private final DemoPlatform mPlatform;
    private final DemoDaemons mDaemons;
    private final DemoCalls mCalls;
    private final RandomGenerator mRandom;
    private final SoakTally mTally;
    private volatile boolean mStopped;
    private int mCount;

    SoakCaller(
            String name,
            DemoPlatform platform,
            DemoDaemons daemons,
            DemoCalls calls,
            RandomGenerator random,
            SoakTally tally) {
        mName = name;
        mPlatform = platform;
        mDaemons = daemons;
        mCalls = calls;
        mRandom = random;
        mTally = tally;
    }

    void stop() {
        mStopped = true;
    }

    @Override
    public void run() {
        while (!mStopped) {
            mCount++;
            DemoFleet fleet = mPlatform.fleets().get(mRandom.nextInt(mPlatform.fleets().size()));
            if (mRandom.nextInt(4) == 0) {
                checkout(fleet);
            } else {
                ask(fleet);
            }
        }
    }

    private void ask(DemoFleet fleet) {
        String question = mName + " asks " + mCount;
        int tokens = 1 + mRandom.nextInt(MAX_TOKENS);
        DemoCalls.Streamed answer;
        try {
            answer =
                    mCalls.stream(
                                    mDaemons.callers(anyDaemon()),
                                    fleet,
                                    question,
                                    tokens,
                                    0,
                                    () -> {})
                            .get(ANSWER_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            mTally.breach(question + ": no outcome in " + ANSWER_SECONDS + " s");
            return;
        } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
            mTally.count("calls without an answer");
            return;
        }
        check(fleet, question, tokens, answer);
    }

    private void check(DemoFleet fleet, String question, int tokens, DemoCalls.Streamed answer) {
        String whole = DemoCalls.expected(fleet, question, tokens);
        String outcome = answer.outcome();
        if (outcome.equals("answered")) {
            mTally.count("model answered");
            if (!answer.text().equals(whole)) {
                mTally.breach(question + ": wrong answer " + answer.text());
            }
        } else if (outcome.contains("not-run")) {
            mTally.count("model not run");
            if (!answer.text().isEmpty()) {
                mTally.breach(question + ": not run, yet it has tokens");
            }
        } else if (outcome.contains("interrupted")) {
            mTally.count("model interrupted");
            if (!whole.startsWith(answer.text())) {
                mTally.breach(question + ": interrupted with wrong tokens " + answer.text());
            }
        } else if (outcome.equals(DemoCalls.CUT)) {
            mTally.count("model calls cut with their daemon");
        } else {
            mTally.breach(question + ": outcome is " + outcome);
        }
    }

    private void checkout(DemoFleet fleet) {
        String key = mName + "-" + mCount;
        boolean ran = false;
        boolean onlyRefused = true;
        int calls = 1 + mRandom.nextInt(MAX_REPEATS);
        for (int i = 0; i < calls; i++) {
            String outcome = checkoutOnce(fleet, key);
            mTally.count("checkout " + outcome);
            ran |= outcome.equals("answered");
            onlyRefused &= outcome.equals("not-run");
        }
        int runs = fleet.service().runs(key);
        if (runs > 1) {
            mTally.breach(key + ": ran " + runs + " times");
        }
        if (ran && runs != 1) {
            mTally.breach(key + ": answered, yet it ran " + runs + " times");
        }
        if (onlyRefused && runs != 0) {
            mTally.breach(key + ": not run, yet it ran");
        }
    }

    private String checkoutOnce(DemoFleet fleet, String key) {
        try {
            CommandClient.Answer answer =
                    mCalls.checkout(mDaemons.callers(anyDaemon()), fleet, key);
            return answer.outcome().orElse("without outcome");
        } catch (CommandException | CompletionException e) {
            return "without answer";
        }
    }

    private int anyDaemon() {
        return mRandom.nextInt(mDaemons.all().size());
    }
}
