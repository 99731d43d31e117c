package org.masticweir.limits;

/** This router's own work on one model version; not thread-safe. */
final class ModelLoad {
    /** Weight of one finished request in the mean time that places are held. */
    private static final double HOLD_GAIN = 0.05;

    private int running;
    private int notYetSent;
    private double holdMs;

    void admitted() {
        running++;
        notYetSent++;
    }

    void sent() {
        notYetSent--;
    }

    void finished(boolean wasSent, long heldMs) {
        running--;
        if (wasSent) {
            holdMs = holdMs == 0 ? heldMs : holdMs + HOLD_GAIN * (heldMs - holdMs);
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

    /** Returns the mean time that requests kept their place, as seen here, else as estimated. */
    double holdMs(double estimateMs) {
        return holdMs > 0 ? holdMs : estimateMs;
    }
}
