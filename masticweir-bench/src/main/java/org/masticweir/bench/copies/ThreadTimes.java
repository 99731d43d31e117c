package org.masticweir.bench.copies;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Processor time of this JVM's threads by their names. */
final class ThreadTimes {
    private static final double NS_PER_US = 1000;

    private ThreadTimes() {}

    /** Returns the time used so far by the live threads whose names begin so, in microseconds. */
    static double usOf(String namePrefix) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double ns = 0;
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread != null && thread.getThreadName().startsWith(namePrefix)) {
                ns += Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
            }
        }
        return ns / NS_PER_US;
    }
}
