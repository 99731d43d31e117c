package org.masticweir.feed;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often one table is asked for, in ms; immutable.
 *
 * @param waitMs how long the store may wait for a first change
 * @param graceMs how much later than that its answer may come at least; {@link AnswerDelay} says
 *     how much it may now
 * @param restMs pause after an answer with changes, so that changes in series cost one call
 */
public record FeedPace(long waitMs, long graceMs, long restMs) {
    public FeedPace {
        checkArgument(waitMs >= 1, "wait %s ms", waitMs);
        checkArgument(graceMs >= 1, "grace %s ms", graceMs);
        checkArgument(restMs >= 0, "rest %s ms", restMs);
    }

    public static FeedPace of(long waitMs, long graceMs, long restMs) {
        return new FeedPace(waitMs, graceMs, restMs);
    }
}
