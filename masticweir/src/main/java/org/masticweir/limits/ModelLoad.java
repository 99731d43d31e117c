package org.masticweir.limits;

/** This router's own requests to one model version; not thread-safe. */
final class ModelLoad {
    private int runningCount;
    private int unsentCount;
    private final HoldTimeEstimate holdTime = new HoldTimeEstimate();

    void markAdmitted() {
        runningCount++;
        unsentCount++;
    }

    void markSent() {
        unsentCount--;
    }

    void markFinished(boolean wasSent, long heldMs) {
        runningCount--;
        if (wasSent) {
            holdTime.add(heldMs);
        } else {
            unsentCount--;
        }
    }

    int runningCount() {
        return runningCount;
    }

    /** Returns the number of admitted requests that the capacity source does not yet count. */
    int unsentCount() {
        return unsentCount;
    }

    /** Returns the statistics on how long requests occupied their slots. */
    HoldTimeEstimate holdTime() {
        return holdTime;
    }
}
