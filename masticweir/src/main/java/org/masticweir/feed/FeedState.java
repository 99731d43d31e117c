package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.Revision;

/**
 * Decides how one table is followed; not thread-safe, reads no clock.
 *
 * <p>Failures that it answers: a store that is down, refuses this router, answers late or not at
 * all, has dropped its history, or returns from an older copy. None of them ends the following;
 * each call has a time limit of its own, and the pause between failed calls grows with jitter, so
 * that a fleet which lost the store together does not come back together.
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
    private Optional<Revision> since = Optional.empty();

    /** The newest era of the store that has been seen; 0 before the first answer. */
    private long era;

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
        Optional<Revision> since();

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
            public Optional<Revision> since() {
                return Optional.empty();
            }
        }

        /** Its changes after a revision; the store may wait for the first one. */
        record Since(Revision revision, long waitMs, long timeoutMs) implements Ask {
            @Override
            public Optional<Revision> since() {
                return Optional.of(revision);
            }
        }
    }

    /**
     * Takes note that all up to {@code revision} is known from others, as of {@code nowMs}.
     *
     * @param storeWasLost whether they said that the store was lost meanwhile
     */
    void told(Revision revision, boolean storeWasLost, long nowMs) {
        enterEra(revision.era(), nowMs);
        if (revision.era() == era) {
            since = Optional.of(Revision.max(revision, since.orElse(revision)));
        }
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
                ? new Ask.Since(since.get(), waitMs, timeoutMs)
                : new Ask.All(timeoutMs);
    }

    /** Returns the silence after which the store counts as having been away, in ms. */
    long awayMs() {
        return pace.waitMs() + delay.graceMs() + pace.restMs();
    }

    /**
     * Returns the outcome of a call as it counts in the newest era of the store.
     *
     * <p>An answer of an earlier era is worthless. Changes in a later era than the one asked about
     * lack all that was written under the numbers given out again, so the table must be read whole.
     */
    FeedOutcome inEra(Ask ask, FeedOutcome outcome, long nowMs) {
        if (!(outcome instanceof FeedOutcome.Rows rows)) {
            return outcome;
        }
        Revision revision = rows.revision();
        if (revision.era() < era) {
            return new FeedOutcome.Failed(
                    "the answer is of era " + revision.era() + ", not " + era);
        }
        enterEra(revision.era(), nowMs);
        boolean isOfAskedEra = ask.since().map(Revision::era).orElse(era) == era;
        return isOfAskedEra ? outcome : new FeedOutcome.HistoryGone();
    }

    /**
     * Enters a later era. Servers write their entries again after the store's return, so removals
     * are doubted.
     */
    private void enterEra(long laterEra, long nowMs) {
        if (laterEra <= era) {
            return;
        }
        if (heard) {
            doubtUntilMs = nowMs + DOUBT_MS;
        }
        era = laterEra;
        since = Optional.empty();
    }

    /** Returns the newest era of the store that has been seen. */
    long era() {
        return era;
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
     * Takes a call's outcome, as {@link #inEra} returned it, and returns the pause before the next
     * call, in ms.
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
            since = Optional.empty();
            return 0;
        }
        failures++;
        long bound = FIRST_BACKOFF_MS << Math.min(failures - 1, MAX_DOUBLINGS);
        return Math.min(MAX_BACKOFF_MS, bound / 2 + random.nextLong(bound / 2 + 1));
    }

    /**
     * Takes the answer to a call that was overdue, as {@link #inEra} returned it, and learns from
     * it how late the store answers.
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
        since = Optional.of(Revision.max(rows.revision(), since.orElse(rows.revision())));
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
