package org.masticweir.peer;

/**
 * Decides when a link that brings nothing is dead; owned by the links' thread.
 *
 * <p>Failure guarded against: a partition drops packets and resets nothing. What waits on the link
 * would wait for its own time-out, and TCP for many minutes. While something is due from the peer,
 * each check without a sign of life counts; the first one asks for such a sign, and the {@link
 * #CHECKS}th finds the link dead. Checks are counted and not time: a router that was itself paused
 * counts one check for its pause, and hears the peers before the next.
 */
final class SilenceWatch {
    /** Checks in a row without a sign of life, after which a link is dead. */
    static final int CHECKS = 4;

    private boolean heard;
    private int quietChecks;

    /** Notes a sign of life. */
    void heard() {
        heard = true;
    }

    /**
     * Returns what to do now.
     *
     * @param due whether the peer owes a reply or has yet to take bytes
     */
    Step check(boolean due) {
        boolean quiet = due && !heard;
        heard = false;
        quietChecks = quiet ? quietChecks + 1 : 0;
        if (quietChecks >= CHECKS) {
            return Step.CLOSE;
        }
        return quietChecks == 1 ? Step.PROBE : Step.NOTHING;
    }

    /** What a check leads to. */
    enum Step {
        NOTHING,
        PROBE,
        CLOSE
    }
}
