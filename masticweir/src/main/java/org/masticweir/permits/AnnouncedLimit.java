package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What one answer of a server says of the requests that it takes; immutable.
 *
 * @param perSecond requests a second from all routers together; 0 unless {@code kind} is {@link
 *     Kind#ANNOUNCED}
 */
public record AnnouncedLimit(Kind kind, double perSecond) {
    private static final AnnouncedLimit NONE = new AnnouncedLimit(Kind.NONE, 0);
    private static final AnnouncedLimit UNREADABLE = new AnnouncedLimit(Kind.UNREADABLE, 0);

    /** Whether a limit is named. */
    public enum Kind {
        NONE,
        ANNOUNCED,
        /** There is a limit, but it cannot be read: what was known of the server holds. */
        UNREADABLE
    }

    public AnnouncedLimit {
        checkNotNull(kind, "kind");
        checkArgument(perSecond >= 0 && Double.isFinite(perSecond), "%s a second", perSecond);
    }

    /** Returns the word of an answer that names no limit. */
    public static AnnouncedLimit none() {
        return NONE;
    }

    public static AnnouncedLimit unreadable() {
        return UNREADABLE;
    }

    /** Returns the word of an answer that names a limit; unreadable if no server can mean it. */
    public static AnnouncedLimit of(double perSecond) {
        return perSecond >= 0 && Double.isFinite(perSecond)
                ? new AnnouncedLimit(Kind.ANNOUNCED, perSecond)
                : UNREADABLE;
    }
}
