package org.amaranthpick.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Processor time of the threads whose names start in one way. */
final class ThreadCpu {
    private final String mPrefix;

    ThreadCpu(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the processor time used so far, in nanoseconds. */
    long usedNs() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(mPrefix)) {
                sum += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return sum;
    }
}
