package org.masticweir.recovery;

/** Tracks one attempt's silence and its probes; not thread-safe. */
final class SilenceWatch {
    /** Probes answered without progress after which a live but stuck engine is left. */
    static final int STUCK_PROBES = 20;

    /** How long a non-idempotent request follows an engine that tells nothing of it. */
    static final long NON_IDEMPOTENT_PATIENCE_MS = 3_000;

    /** How late a wake-up must be for this router, not the engine, to be what paused. */
    static final long LATE_MS = 50;

    /** How long a router that paused listens before it probes; time to read what lies there. */
    static final long LISTEN_AGAIN_MS = 50;

    /** Probes answered ahead of an attempt after which it is taken for lost on its way. */
    static final int PROBES_AHEAD = 2;

    private long begunMs;
    private long quietSinceMs;
    private boolean probing;
    private boolean listenedAgain;
    private boolean firstTokenSeen;
    private int failed;
    private int stuck;
    private int ahead;

    /** Starts anew for an attempt begun at {@code nowMs}. */
    void begin(long nowMs) {
        firstTokenSeen = false;
        endProbes();
        listenedAgain = false;
        begunMs = nowMs;
        quietSinceMs = nowMs;
    }

    /** Notes that the engine said something that is no token. */
    void heard(long nowMs) {
        listenedAgain = false;
        quietSinceMs = nowMs;
    }

    /** Notes tokens; returns whether they are the attempt's first. */
    boolean tokens(long nowMs) {
        heard(nowMs);
        failed = 0;
        stuck = 0;
        boolean first = !firstTokenSeen;
        firstTokenSeen = true;
        return first;
    }

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    /** Returns when a silence of {@code boundMs} is over. */
    long dueAtMs(long boundMs) {
        return quietSinceMs + boundMs;
    }

    /**
     * Tells whether a wake-up at the end of a silence, {@code lateMs} after its time, proves
     * nothing.
     *
     * <p>Failure guarded against: the thread of this router pauses and wakes with the timer first,
     * the engine's frames still unread; every engine passes for silent. Once for each silence the
     * engine is listened to again: a thread that is always late must find a dead engine too.
     */
    boolean listenAgain(long lateMs) {
        boolean again = lateMs >= LATE_MS && !listenedAgain;
        listenedAgain |= again;
        return again;
    }

    /** Notes that a probe goes out; returns false when one is out already. */
    boolean startProbe() {
        boolean free = !probing;
        probing = true;
        return free;
    }

    /** Notes that the probe was answered. */
    void answered() {
        probing = false;
        failed = 0;
    }

    /**
     * Notes that the probe never left this router.
     *
     * <p>Failure guarded against: a router with more streams on an engine than connections for
     * short calls stalls, probes for all of them at once, and the probes without a connection end
     * in an instant. Counted as failed they would make it leave a live engine.
     */
    void withheld() {
        probing = false;
    }

    /** Judges an answer that names no token beyond those accepted. */
    ProbeVerdict answeredWithoutProgress(long nowMs) {
        stuck++;
        if (stuck >= STUCK_PROBES) {
            return ProbeVerdict.LEAVE;
        }
        quietSinceMs = nowMs;
        return ProbeVerdict.LISTEN;
    }

    /**
     * Judges an answer that does not know the generation of an attempt just sent.
     *
     * <p>Failure guarded against: many requests come at once, and an engine answers the probe of
     * one, on a connection of its own, before it has read the attempt. Left at once, the attempt is
     * computed there all the same, as the word to stop comes before it too, and again elsewhere.
     *
     * <p>A non-idempotent request that is left goes nowhere else: its caller gets an error while
     * the engine computes the answer.
     */
    ProbeVerdict notArrived(RecoveryPlan plan, long nowMs) {
        answered();
        ahead++;
        if (ahead > PROBES_AHEAD && !patient(plan, nowMs - begunMs)) {
            return ProbeVerdict.LEAVE;
        }
        quietSinceMs = nowMs;
        return ProbeVerdict.LISTEN;
    }

    /** Judges a probe that failed, when a silence of {@code boundMs} is too long. */
    ProbeVerdict probeFailed(RecoveryPlan plan, long boundMs, long nowMs) {
        probing = false;
        failed++;
        long silentMs = nowMs - quietSinceMs;
        if (silentMs < boundMs) {
            // Tokens came while the probe was out.
            failed = 0;
            return ProbeVerdict.LISTEN;
        }
        boolean again = patient(plan, silentMs) || failed < plan.preset().probesBeforeMove();
        return again ? ProbeVerdict.PROBE_AGAIN : ProbeVerdict.LEAVE;
    }

    private static boolean patient(RecoveryPlan plan, long silentMs) {
        return !plan.idempotent() && silentMs < NON_IDEMPOTENT_PATIENCE_MS;
    }

    /** Returns what a decision at {@code nowMs} goes by, for its log line. */
    String told(long nowMs) {
        return "silent "
                + (nowMs - quietSinceMs)
                + " ms, probes failed "
                + failed
                + ", without progress "
                + stuck
                + ", before it arrived "
                + ahead;
    }

    /** Ends the probes of an attempt that is left. */
    void endProbes() {
        probing = false;
        failed = 0;
        stuck = 0;
        ahead = 0;
    }
}
