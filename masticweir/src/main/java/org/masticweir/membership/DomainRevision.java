package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.DomainId;

/** The highest configuration revision that some router of a failure domain is known to hold. */
public record DomainRevision(DomainId domain, long revision) {
    public DomainRevision {
        checkNotNull(domain, "domain");
        checkArgument(revision >= 0, "revision %s", revision);
    }
}
