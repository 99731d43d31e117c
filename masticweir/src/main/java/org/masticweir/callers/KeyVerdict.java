package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.BooleanSupplier;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/**
 * Turns what is known of one submission into what may be told of its key; thread-safe.
 *
 * <p>Failure guarded against: a letter goes to one router, which claims and sends it; the
 * connection drops; the caller submits the key at another router, which cannot take it and answers
 * NOT_RUN. The caller writes the letter by hand and the household gets two. No router can know of
 * all submissions of a key while the platform or other domains are out of reach, so that NOT_RUN is
 * told only of a key that no other submission can bear, by the caller's word or because the router
 * made the key.
 */
final class KeyVerdict {
    private final BooleanSupplier sole;

    private KeyVerdict(BooleanSupplier sole) {
        this.sole = checkNotNull(sole, "sole");
    }

    /** Returns the rule for a submission that is the key's only one as long as {@code sole}. */
    static KeyVerdict soleIf(BooleanSupplier sole) {
        return new KeyVerdict(sole);
    }

    /** Returns {@code error} as it may be told to the caller. */
    MasticweirException told(MasticweirException error) {
        return error.verdict() == Verdict.NOT_RUN && !sole.getAsBoolean()
                ? error.withKeyInDoubt()
                : error;
    }
}
