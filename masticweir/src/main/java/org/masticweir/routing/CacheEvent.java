package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One change of an engine's prefix cache, as the engine published it; immutable.
 *
 * @param seq position among the engine's events; gaps mean events that were never seen
 */
public record CacheEvent(long seq, Kind kind, String prefix) {
    public CacheEvent {
        checkNotNull(kind, "kind");
        checkNotNull(prefix, "prefix");
    }

    /** What became of the prefix. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
