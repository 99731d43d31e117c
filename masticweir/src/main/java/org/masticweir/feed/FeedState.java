package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.masticweir.store.FeedOutcome;

/**
 * Decides how one table is followed; not thread-safe, reads no clock.
 *
 * <p>Failures that it answers: a store that is down, refuses this router, answers late or not at
 * all, or has dropped its history. None of them ends the following; each call has a time limit of
 * its own, and the pause between failed calls grows with jitter, so that a fleet which lost the
 * store together does not come back together.
 */
final class FeedState {
    /** First pause after a failed call, in ms; a lost answer then costs little. */
    static final long FIRST_BACKOFF_MS = 100;

    /** Longest pause after failed calls, in ms: half of the time in which a change must be seen. */
    static final long MAX_BACKOFF_MS = 800;

    /** Longest doubling of the first pause. */
    private static final int MAX_DOUBLINGS = 3;

    /**
     * How long removals are doubted after the store's return, in ms. Servers whose entries lapsed
     * meanwhile are back within about two seconds.
     */
    static final long DOUBT_MS = 2_200;

    /**
     * Pause after a whole reading, in ms. Routers that start together hear of each other meanwhile,
     * and all but the readers make no further call.
     */
    static final long SETTLE_MS = 700;

    /**
     * What a call waits for a change while the store is away, in ms: it only asks for an answer.
     */
    private static final long PROBE_WAIT_MS = 1;

    /** Failed calls in a row after which the store counts as having been away. */
    private static final int AWAY_FAILURES = 2;

    private final FeedPace pace;
    private final RandomGenerator random;
    private final AnswerDelay delay;
    private OptionalLong since = OptionalLong.empty();
    private Optional<Call> call = Optional.empty();
    private int failures;
    private long lastHeardMs;
    private long doubtUntilMs = Long.MIN_VALUE;
    private boolean heard;

    FeedState(FeedPace pace, RandomGenerator random) {
        this.pace = checkNotNull(pace, "pace");
        this.random = checkNotNull(random, "random");
        delay = new AnswerDelay(pace.graceMs());
    }

    /** A call under way: when it began, what the store may wait for a change, and its limit. */
    private record Call(long startMs, long waitMs, long timeoutMs) {}

    /** What to ask the store next. */
    sealed interface Ask {
        /** Returns the time after which the call is overdue, in ms. */
        long timeoutMs();

        /** Returns how long the store may wait for a first change, in ms. */
        long waitMs();

        /** Returns the revision after which changes are asked for; empty for the whole table. */
        OptionalLong since();

        /**
         * Returns a time at which the store held nothing newer than {@code rows}, the answer to
         * this call: an answer without a change says so of the end of its wait, any other one only
         * of the start of its call.
         */
        default long asOfMs(FeedOutcome.Rows rows, long startMs, long nowMs) {
            boolean waitedInFull = rows.changes().isEmpty() && nowMs - startMs >= waitMs();
            return startMs + (waitedInFull ? waitMs() : 0);
        }

        /** The whole table. */
        record All(long timeoutMs) implements Ask {
            @Override
            public long waitMs() {
                return 0;
            }

            @Override
            public OptionalLong since() {
                return OptionalLong.empty();
            }
        }

        /** Its changes after a revision; the store may wait for the first one. */
        record Since(long revision, long waitMs, long timeoutMs) implements Ask {
            @Override
            public OptionalLong since() {
                return OptionalLong.of(revision);
            }
        }
    }

    /**
     * Takes note that all up to {@code revision} is known from others, as of {@code nowMs}.
     *
     * @param storeWasLost whether they said that the store was lost meanwhile
     */
    void told(long revision, boolean storeWasLost, long nowMs) {
        since = OptionalLong.of(Math.max(revision, since.orElse(revision)));
        failures = storeWasLost ? Math.max(failures, AWAY_FAILURES) : 0;
        heard = true;
        lastHeardMs = nowMs;
    }

    /**
     * Begins the next call.
     *
     * @param role this router's part in reading
     */
    Ask next(ReadingRole role, long nowMs) {
        long waitMs =
                since.isEmpty() ? 0 : isAway() ? PROBE_WAIT_MS : role.waitMs(pace, delay.meanMs());
        long timeoutMs = waitMs + delay.graceMs();
        call = Optional.of(new Call(nowMs, waitMs, timeoutMs));
        return since.isPresent()
                ? new Ask.Since(since.getAsLong(), waitMs, timeoutMs)
                : new Ask.All(timeoutMs);
    }

    /** Returns the silence after which the store counts as having been away, in ms. */
    long awayMs() {
        return pace.waitMs() + delay.graceMs() + pace.restMs();
    }

    /** Learns from a call how late the store answers. */
    private void learn(FeedOutcome outcome, long nowMs) {
        if (call.isEmpty()) {
            return;
        }
        Call ended = call.get();
        call = Optional.empty();
        long tookMs = nowMs - ended.startMs();
        if (outcome instanceof FeedOutcome.Rows rows) {
            // An answer with changes may have come before the wait was over.
            boolean waitedInFull = rows.changes().isEmpty() || ended.waitMs() <= PROBE_WAIT_MS;
            if (waitedInFull) {
                delay.answered(Math.max(0, tookMs - ended.waitMs()));
            }
        } else if (tookMs >= ended.timeoutMs()) {
            delay.unanswered();
        }
    }

    /**
     * Takes a call's outcome and returns the pause before the next call, in ms.
     *
     * @param role this router's part in reading
     */
    long ended(FeedOutcome outcome, ReadingRole role, long nowMs) {
        learn(outcome, nowMs);
        if (outcome instanceof FeedOutcome.Rows rows) {
            boolean whole = since.isEmpty();
            recordRows(rows, nowMs);
            if (whole) {
                return SETTLE_MS;
            }
            return rows.changes().isEmpty() ? 0 : role.restMs(pace);
        }
        if (outcome instanceof FeedOutcome.HistoryGone) {
            since = OptionalLong.empty();
            return 0;
        }
        failures++;
        long bound = FIRST_BACKOFF_MS << Math.min(failures - 1, MAX_DOUBLINGS);
        return Math.min(MAX_BACKOFF_MS, bound / 2 + random.nextLong(bound / 2 + 1));
    }

    /**
     * Takes the answer to a call that was overdue, and learns from it how late the store answers.
     *
     * @param startMs when the call began
     */
    void endedLate(Ask ask, FeedOutcome.Rows rows, long startMs, long nowMs) {
        delay.answered(Math.max(0, nowMs - startMs - ask.waitMs()));
        recordRows(rows, nowMs);
    }

    private void recordRows(FeedOutcome.Rows rows, long nowMs) {
        boolean wasAway = heard && (failures >= AWAY_FAILURES || nowMs - lastHeardMs > awayMs());
        if (wasAway) {
            doubtUntilMs = nowMs + DOUBT_MS;
        }
        failures = 0;
        heard = true;
        lastHeardMs = nowMs;
        since = OptionalLong.of(Math.max(rows.revision(), since.orElse(rows.revision())));
    }

    /** Returns when a removal that is heard now takes effect. */
    long removalDueMs(long nowMs) {
        return Math.max(nowMs, doubtUntilMs);
    }

    /** Returns whether the last call failed. */
    boolean isAway() {
        return failures > 0;
    }

    /** Returns how long ago the store last answered; empty if it never did. */
    OptionalLong ageMs(long nowMs) {
        return heard ? OptionalLong.of(nowMs - lastHeardMs) : OptionalLong.empty();
    }
}
