package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/** A router as the lagging instance list names it. */
public record ListedRouter(RouterAddress where, boolean leaving) {
    public ListedRouter {
        checkNotNull(where, "where");
    }
}
