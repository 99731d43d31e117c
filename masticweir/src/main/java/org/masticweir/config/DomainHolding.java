package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.DomainId;

/** Whether some router of a failure domain is known to hold a revision or a later one. */
public record DomainHolding(DomainId domain, boolean holds) {
    public DomainHolding {
        checkNotNull(domain, "domain");
    }
}
