package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.stream.Stream;
import org.masticweir.id.ContentId;

/**
 * Decides which of the contents and parts that were lost with the same servers is held for the
 * crashes; owned by the quarantine.
 */
final class BlameRule {
    private final CrashEvidence evidence;

    BlameRule(CrashEvidence evidence) {
        this.evidence = checkNotNull(evidence, "evidence");
    }

    /**
     * Returns how many crashes are held against {@code state} in a request with {@code content}:
     * none if something else that is not in this request explains all its losses.
     */
    int suspicion(ContentState state, RequestContent content, long nowMs) {
        int suspicion = state.suspicion(nowMs);
        return suspicion > 0 && isExplained(state, content, nowMs) ? 0 : suspicion;
    }

    /**
     * Returns whether something that is not in this request was lost with the same servers and is
     * more likely to have caused the crashes. If that is wrong, the next crash under this request
     * shows it.
     */
    private boolean isExplained(ContentState state, RequestContent content, long nowMs) {
        if (!state.record().isPart()) {
            return false;
        }
        boolean isTrusted = state.isTrusted(nowMs);
        return otherCandidates(state, content)
                .anyMatch(
                        other ->
                                state.isProvenLaterThan(other)
                                        || (isTrusted
                                                && other.suspicion(nowMs) >= Quarantine.CRASH_LIMIT
                                                && !other.isProvenLongAfter(state)));
    }

    /** Returns whether something that is not in this request may have caused all losses as well. */
    boolean isAmbiguous(ContentState state, RequestContent content) {
        return otherCandidates(state, content)
                .anyMatch(
                        other ->
                                state.record().isPart()
                                        ? !other.isProvenLongAfter(state)
                                        : other.isLostMoreOften(state));
    }

    private Stream<ContentState> otherCandidates(ContentState state, RequestContent content) {
        ImmutableSet<ContentId> own = content.all();
        return evidence.othersWithAllLossesOf(state).stream()
                .filter(s -> !own.contains(s.content()));
    }
}
