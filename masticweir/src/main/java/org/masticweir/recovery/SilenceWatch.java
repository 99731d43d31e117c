package org.masticweir.recovery;

/** Tracks one attempt's silence and its probes; not thread-safe. */
final class SilenceWatch {
    /** Probes answered without progress after which a live but stuck engine is left. */
    static final int STUCK_PROBES = 20;

    /** How long a non-idempotent request follows an engine that answers no probe. */
    static final long NON_IDEMPOTENT_PATIENCE_MS = 3_000;

    private long quietSinceMs;
    private boolean probing;
    private boolean firstTokenSeen;
    private int failed;
    private int stuck;

    /** Starts anew for an attempt begun at {@code nowMs}. */
    void begin(long nowMs) {
        firstTokenSeen = false;
        endProbes();
        quietSinceMs = nowMs;
    }

    /** Notes that the engine said something that is no token. */
    void heard(long nowMs) {
        quietSinceMs = nowMs;
    }

    /** Notes tokens; returns whether they are the attempt's first. */
    boolean tokens(long nowMs) {
        quietSinceMs = nowMs;
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

    /** Judges an answer that names no token beyond those accepted. */
    ProbeVerdict answeredWithoutProgress(long nowMs) {
        stuck++;
        if (stuck >= STUCK_PROBES) {
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
        boolean patient = !plan.idempotent() && silentMs < NON_IDEMPOTENT_PATIENCE_MS;
        boolean again = patient || failed < plan.preset().probesBeforeMove();
        return again ? ProbeVerdict.PROBE_AGAIN : ProbeVerdict.LEAVE;
    }

    /** Ends the probes of an attempt that is left. */
    void endProbes() {
        probing = false;
        failed = 0;
        stuck = 0;
    }
}
