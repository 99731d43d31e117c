package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.masticweir.id.ContentId;

/**
 * The ids of everything in a request that may crash a server; immutable.
 *
 * @param whole id of the whole content
 * @param parts ids of the parts of the prompt that other requests may share: all but the last part
 */
public record RequestContent(ContentId whole, ImmutableSet<ContentId> parts) {
    public RequestContent {
        checkNotNull(whole, "whole");
        checkNotNull(parts, "parts");
    }

    /** Returns the content of a request whose prompt has no shared parts. */
    public static RequestContent of(ContentId whole) {
        return new RequestContent(whole, ImmutableSet.of());
    }

    /** Returns the ids of the parts, in their order, and then the id of the whole content. */
    public ImmutableSet<ContentId> all() {
        return ImmutableSet.<ContentId>builder().addAll(parts).add(whole).build();
    }
}
