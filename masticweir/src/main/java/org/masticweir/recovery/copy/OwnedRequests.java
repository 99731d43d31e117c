package org.masticweir.recovery.copy;

import java.util.Optional;
import org.masticweir.id.RequestId;

/** The requests that this router owns; thread-safe. */
@FunctionalInterface
public interface OwnedRequests {
    /**
     * Returns the request, unless it is unknown here, was taken over from here, or is itself only
     * read from its owner.
     */
    Optional<OwnedAnswer> find(RequestId request);
}
