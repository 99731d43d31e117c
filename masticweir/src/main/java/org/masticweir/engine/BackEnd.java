package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;

/**
 * One back end as the instance list names it.
 *
 * @param address IP address and port of its HTTP interface
 * @param group name of the declared group it belongs to
 * @param leaving whether it takes no new work
 */
public record BackEnd(
        EngineId id, InetSocketAddress address, DomainId domain, String group, boolean leaving) {
    public BackEnd {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
        checkNotNull(domain, "domain");
        checkNotNull(group, "group");
    }
}
