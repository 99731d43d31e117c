package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.routing.EngineState;

/** The engines that a router knows; immutable. */
public record EngineList(List<Engine> engines) {
    public EngineList {
        engines = ImmutableList.copyOf(engines);
    }

    /**
     * One engine as the router last heard of it.
     *
     * @param address IP number and port
     * @param running sequences in its batch, by its last report
     * @param ownSends attempts of this router that run there
     */
    public record Engine(
            EngineId id,
            DomainId domain,
            String group,
            String address,
            EngineState state,
            int running,
            int waiting,
            int capacity,
            int ownSends) {
        public Engine {
            checkNotNull(id, "id");
            checkNotNull(domain, "domain");
            checkNotNull(group, "group");
            checkNotNull(address, "address");
            checkNotNull(state, "state");
        }
    }
}
