package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Request limit in one answer of a server, or the absence of a limit; immutable.
 *
 * @param perSecond maximum requests a second from all routers together; 0 unless {@code kind} is
 *     {@link Kind#ANNOUNCED}
 */
public record AnnouncedLimit(Kind kind, double perSecond) {
    private static final AnnouncedLimit NONE = new AnnouncedLimit(Kind.NONE, 0);
    private static final AnnouncedLimit UNREADABLE = new AnnouncedLimit(Kind.UNREADABLE, 0);

    /** Whether the answer announces a limit. */
    public enum Kind {
        NONE,
        ANNOUNCED,
        /** The answer has a limit that cannot be parsed: the stored limit stays in force. */
        UNREADABLE
    }

    public AnnouncedLimit {
        checkNotNull(kind, "kind");
        checkArgument(perSecond >= 0 && Double.isFinite(perSecond), "%s a second", perSecond);
    }

    /** Returns the instance for an answer without a limit. */
    public static AnnouncedLimit none() {
        return NONE;
    }

    public static AnnouncedLimit unreadable() {
        return UNREADABLE;
    }

    /**
     * Returns the announced limit; {@link Kind#UNREADABLE} if {@code perSecond} is negative or not
     * finite.
     */
    public static AnnouncedLimit of(double perSecond) {
        return perSecond >= 0 && Double.isFinite(perSecond)
                ? new AnnouncedLimit(Kind.ANNOUNCED, perSecond)
                : UNREADABLE;
    }
}
