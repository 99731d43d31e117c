package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkNotNull;

/** Says what the end of a probe means for its attempt; not thread-safe. */
final class ProbeJudge {
    private final RecoveryPlan plan;
    private final SilenceWatch silence;
    private final CopyGap gap;

    ProbeJudge(RecoveryPlan plan, SilenceWatch silence, CopyGap gap) {
        this.plan = checkNotNull(plan, "plan");
        this.silence = checkNotNull(silence, "silence");
        this.gap = checkNotNull(gap, "gap");
    }

    /**
     * What is known here of the attempt probed.
     *
     * @param onItsWay whether it was sent and nothing has come of it
     * @param accepted count of tokens accepted so far
     * @param boundMs longest silence
     */
    record Standing(boolean onItsWay, int accepted, long boundMs) {}

    ProbeVerdict judge(RecoveryEvent.Probed probed, Standing standing, long nowMs) {
        if (probed instanceof RecoveryEvent.ProbeAnswered answered) {
            return answered(answered.next(), standing, nowMs);
        }
        if (probed instanceof RecoveryEvent.ProbeUnknown) {
            return unknown(standing, nowMs);
        }
        if (probed instanceof RecoveryEvent.ProbeWithheld) {
            silence.withheld();
            return ProbeVerdict.PROBE_AGAIN;
        }
        return silence.probeFailed(plan, standing.boundMs(), nowMs);
    }

    private ProbeVerdict unknown(Standing standing, long nowMs) {
        if (standing.onItsWay()) {
            return silence.notArrived(plan, nowMs);
        }
        if (nowMs < silence.dueAtMs(standing.boundMs())) {
            // The engine answered before it had read the attempt, and has begun it meanwhile.
            silence.answered();
            return ProbeVerdict.LISTEN;
        }
        return ProbeVerdict.LEAVE;
    }

    private ProbeVerdict answered(int next, Standing standing, long nowMs) {
        silence.answered();
        if (gap.asksHead()) {
            gap.headIs(next, standing.accepted());
            return ProbeVerdict.NOTHING;
        }
        if (nowMs < silence.dueAtMs(standing.boundMs())) {
            // Tokens came while the probe was out: an engine ahead of them is no cut link.
            return ProbeVerdict.LISTEN;
        }
        if (next > standing.accepted()) {
            return ProbeVerdict.REREAD;
        }
        return silence.answeredWithoutProgress(nowMs);
    }
}
