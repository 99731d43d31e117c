package org.masticweir.limits;

/** This router's own work on one model version; not thread-safe. */
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

    /** Returns requests admitted whose send the capacity doesn't show yet. */
    int notYetSent() {
        return notYetSent;
    }

    /** Returns how long requests kept their places. */
    HoldTimeEstimate holdTime() {
        return holdTime;
    }
}
