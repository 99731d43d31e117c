package org.masticweir.membership;

import org.masticweir.id.DomainId;

/**
 * What is known of a failure domain.
 *
 * @param lastHeardMs when one of its routers was last heard directly; {@link #NEVER} if none was
 * @param configRevision highest revision that one of its routers holds, by any report
 */
public record DomainView(DomainId domain, long lastHeardMs, long configRevision) {
    public static final long NEVER = Long.MIN_VALUE;

    public boolean heard() {
        return lastHeardMs != NEVER;
    }
}
