package org.masticweir.quarantine;

/** Counts what happened to the requests of a simulated fleet that crash no server. */
final class SoundRequestCounts {
    private int submitted;
    private int rejected;
    private int notSent;
    private int delayed;
    private long delayMs;

    void recordSubmission() {
        submitted++;
    }

    void recordRejection() {
        rejected++;
    }

    void recordNotSent() {
        notSent++;
    }

    void recordDelay(long ms) {
        delayed++;
        delayMs += ms;
    }

    int submitted() {
        return submitted;
    }

    /** Returns the number of requests that were rejected because of a quarantine. */
    int rejected() {
        return rejected;
    }

    /** Returns the number of requests that waited for trials until they timed out. */
    int notSent() {
        return notSent;
    }

    /** Returns the number of requests that were rejected, delayed or not sent. */
    int held() {
        return rejected + notSent + delayed;
    }

    @Override
    public String toString() {
        return String.format(
                "%d sound, %d rejected, %d not sent, %d delayed by %d ms",
                submitted, rejected, notSent, delayed, delayMs / Math.max(1, delayed));
    }
}
