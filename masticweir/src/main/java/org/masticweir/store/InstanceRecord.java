package org.masticweir.store;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;

/** One instance as the platform's lagging list shows it; immutable. */
public record InstanceRecord(
        String id,
        InstanceKind kind,
        String group,
        DomainId domain,
        InetSocketAddress address,
        boolean leaving) {
    public InstanceRecord {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        checkNotNull(group, "group");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
    }
}
