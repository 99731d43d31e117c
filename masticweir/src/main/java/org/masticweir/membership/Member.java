package org.masticweir.membership;

import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * A router as this one sees it; immutable.
 *
 * @param lastHeardMs when it was last heard directly, or first known if it never was
 */
public record Member(
        RouterAddress where,
        MemberState state,
        long lastHeardMs,
        long configRevision,
        LoadDigest load) {
    public RouterId router() {
        return where.router();
    }

    public DomainId domain() {
        return where.domain();
    }
}
