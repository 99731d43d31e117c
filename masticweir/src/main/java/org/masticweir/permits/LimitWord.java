package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one answer of a server says of the requests that it takes; immutable.
 *
 * @param perSecond requests a second from all routers together; 0 unless {@code kind} is {@link
 *     Kind#NAMED}
 */
public record LimitWord(Kind kind, double perSecond) {
    private static final LimitWord NONE = new LimitWord(Kind.NONE, 0);
    private static final LimitWord UNREADABLE = new LimitWord(Kind.UNREADABLE, 0);

    /** Whether a limit is named. */
    public enum Kind {
        NONE,
        NAMED,
        /** There is a limit, but it cannot be read: what was known of the server holds. */
        UNREADABLE
    }

    public LimitWord {
        checkNotNull(kind, "kind");
        checkArgument(perSecond >= 0 && Double.isFinite(perSecond), "%s a second", perSecond);
    }

    /** Returns the word of an answer that names no limit. */
    public static LimitWord none() {
        return NONE;
    }

    public static LimitWord unreadable() {
        return UNREADABLE;
    }

    /** Returns the word of an answer that names a limit; unreadable if no server can mean it. */
    public static LimitWord of(double perSecond) {
        return perSecond >= 0 && Double.isFinite(perSecond)
                ? new LimitWord(Kind.NAMED, perSecond)
                : UNREADABLE;
    }
}
