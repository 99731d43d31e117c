package org.masticweir.limits;

/** This router's own requests to one model version; not thread-safe. */
final class ModelLoad {
    private int running;
    private int notYetSent;
    private final HoldTimeEstimate holdTime = new HoldTimeEstimate();

    void markAdmitted() {
        running++;
        notYetSent++;
    }

    void markSent() {
        notYetSent--;
    }

    void markFinished(boolean wasSent, long heldMs) {
        running--;
        if (wasSent) {
            holdTime.add(heldMs);
        } else {
            notYetSent--;
        }
    }

    int running() {
        return running;
    }

    /** Returns the number of admitted requests that the capacity source does not count yet. */
    int notYetSent() {
        return notYetSent;
    }

    /** Returns the statistics on how long requests occupied their slots. */
    HoldTimeEstimate holdTime() {
        return holdTime;
    }
}
