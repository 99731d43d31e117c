package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;

/** What a quarantine knows of one content or part; owned by the quarantine. */
final class ContentState {
    /** Time for which a part that ran without a crash is trusted, in ms. */
    private static final long TRUST_MS = 60_000;

    /**
     * Number of crashes of a trusted part that are not counted. A part that most requests share is
     * lost with each server; its next success shows that it did not cause the crash, but takes as
     * long as a trial.
     */
    static final int TRUST_MARGIN_CRASHES = 2;

    /**
     * Time after its first counted loss for which a trusted part is not suspected, in ms. If it is
     * in frequent use and did not cause the loss, a run that began after the loss has passed its
     * trial by then.
     */
    private static final long PROOF_MS = Quarantine.TRIAL_MS + 800;

    private final Map<RouterId, Long> peerTrialsUntilMs = new HashMap<>();
    private final long createdMs;
    private CrashRecord record;
    private ImmutableSet<ServerIncarnation> countedIncarnations = ImmutableSet.of();
    private long firstCountedMs;
    private int crashCount;
    private int ownTrialCount;
    private int inquiryCount;
    private boolean isLossObservedHere;
    private long staggeredUntilMs = Long.MIN_VALUE;
    private OptionalLong sharedSuccessMs = OptionalLong.empty();

    ContentState(CrashRecord record, long createdMs) {
        this.createdMs = createdMs;
        setRecord(record);
    }

    ContentId content() {
        return record.content();
    }

    CrashRecord record() {
        return record;
    }

    void setRecord(CrashRecord newRecord) {
        record = checkNotNull(newRecord, "newRecord");
        ImmutableList<Loss> counted = record.countedLosses();
        countedIncarnations =
                counted.stream().map(Loss::life).collect(ImmutableSet.toImmutableSet());
        firstCountedMs = counted.isEmpty() ? createdMs : counted.get(0).endedMs();
        crashCount = record.crashCount();
    }

    /** Returns the incarnations whose losses count. */
    ImmutableSet<ServerIncarnation> countedIncarnations() {
        return countedIncarnations;
    }

    int crashCount() {
        return crashCount;
    }

    /** Returns the number of crashes beyond those that are not held against a trusted part. */
    int suspicion(long nowMs) {
        if (!isTrusted(nowMs)) {
            return crashCount;
        }
        boolean awaitsProof = nowMs - firstCountedMs < PROOF_MS;
        return awaitsProof ? 0 : Math.max(0, crashCount - TRUST_MARGIN_CRASHES);
    }

    /** Returns whether this is a part that ran without a crash a short time ago. */
    boolean isTrusted(long nowMs) {
        return record.isPart() && !record.hasNoSuccessSince(nowMs - TRUST_MS);
    }

    /** Returns the number of crashes that determines the duration of the quarantine. */
    int crashesForDuration() {
        boolean hadSuccess = record.isPart() && record.lastSuccessMs().isPresent();
        return crashCount - (hadSuccess ? TRUST_MARGIN_CRASHES : 0);
    }

    /** Returns the time of the last loss, or the creation time of this state if there is none. */
    long lastLossOrCreationMs() {
        return record.lastLoss().map(Loss::endedMs).orElse(createdMs);
    }

    /** Returns whether all losses that count for this one count for {@code other} too. */
    boolean sharesAllLossesWith(ContentState other) {
        return other.countedIncarnations.containsAll(countedIncarnations);
    }

    /**
     * Returns whether this one ran without a crash more recently than {@code other}, so that {@code
     * other} is more likely to have caused the crashes of both.
     */
    boolean isProvenLaterThan(ContentState other) {
        return record.lastSuccessMs().isPresent()
                && other.record.hasNoSuccessSince(record.lastSuccessMs().getAsLong());
    }

    /**
     * Returns whether this one's last success is so much later than that of {@code other} that the
     * order of the two is no coincidence.
     */
    boolean isProvenLongAfter(ContentState other) {
        return record.lastSuccessMs().isPresent()
                && other.record.hasNoSuccessSince(record.lastSuccessMs().getAsLong() - PROOF_MS);
    }

    /** Returns whether this is a part at the limit that was lost with more servers. */
    boolean isLostMoreOften(ContentState wholeContent) {
        return record.isPart()
                && crashCount >= Quarantine.CRASH_LIMIT
                && crashCount > wholeContent.crashCount;
    }

    void beginOwnTrial() {
        ownTrialCount++;
    }

    void endOwnTrial() {
        ownTrialCount = Math.max(0, ownTrialCount - 1);
    }

    void beginInquiry() {
        inquiryCount++;
    }

    void endInquiry() {
        inquiryCount = Math.max(0, inquiryCount - 1);
    }

    boolean isInquired() {
        return inquiryCount > 0;
    }

    /**
     * Returns whether other routers must not send the content now: a trial runs here, or the cause
     * of a loss in a trial is being determined.
     */
    boolean isBusyHere() {
        return ownTrialCount > 0 || inquiryCount > 0;
    }

    boolean isOnTrial(long nowMs) {
        return ownTrialCount > 0
                || peerTrialsUntilMs.values().stream().anyMatch(until -> nowMs < until);
    }

    /** Sets or removes the trial of another router. Returns whether a trial was removed. */
    boolean setPeerTrial(RouterId peer, OptionalLong untilMs) {
        if (untilMs.isPresent()) {
            peerTrialsUntilMs.put(peer, untilMs.getAsLong());
            return false;
        }
        return peerTrialsUntilMs.remove(peer) != null;
    }

    boolean isLossObservedHere() {
        return isLossObservedHere;
    }

    void setLossObservedHere(boolean observedHere) {
        isLossObservedHere = observedHere;
    }

    boolean isStaggered(long nowMs) {
        return nowMs < staggeredUntilMs;
    }

    void staggerUntil(long untilMs) {
        staggeredUntilMs = untilMs;
    }

    /** Returns whether the last success is known to be {@code ms} later than other routers know. */
    boolean isSuccessNews(long ms) {
        OptionalLong known = record.lastSuccessMs();
        return known.isPresent()
                && (sharedSuccessMs.isEmpty()
                        || known.getAsLong() - sharedSuccessMs.getAsLong() >= ms);
    }

    /** Records that other routers know of a success at {@code ms}. */
    void recordSharedSuccess(OptionalLong ms) {
        boolean isLater =
                ms.isPresent()
                        && (sharedSuccessMs.isEmpty()
                                || ms.getAsLong() > sharedSuccessMs.getAsLong());
        if (isLater) {
            sharedSuccessMs = ms;
        }
    }
}
