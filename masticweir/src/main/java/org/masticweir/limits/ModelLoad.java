package org.masticweir.limits;

/** This router's own work on one model version; not thread-safe. */
final class ModelLoad {
    private int running;
    private int notYetSent;
    private final HoldTime hold = new HoldTime();

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
            hold.saw(heldMs);
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
    HoldTime hold() {
        return hold;
    }
}
