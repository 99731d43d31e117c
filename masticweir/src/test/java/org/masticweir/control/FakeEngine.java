package org.masticweir.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.masticweir.id.EngineId;

/** An engine in memory that obeys, with or without a check of the fencing number. */
final class FakeEngine {
    final EngineId id;
    final InetSocketAddress address;
    final Set<ModelVersion> models = new HashSet<>();
    final List<Order> taken = new ArrayList<>();
    boolean checksFencing;
    EngineRole role = EngineRole.SERVING;
    boolean listedLeaving;
    private long highest;

    FakeEngine(int i, boolean checksFencing, ModelVersion first) {
        id = EngineId.of("e" + i);
        address = new InetSocketAddress("127.0.0.1", 1 + i);
        this.checksFencing = checksFencing;
        models.add(first);
    }

    SendOutcome take(Order order) {
        if (checksFencing && order.fencing() < highest) {
            return SendOutcome.OLD_FENCING;
        }
        highest = Math.max(highest, order.fencing());
        taken.add(order);
        switch (order.kind()) {
            case LOAD -> models.add(order.model().orElseThrow());
            case UNLOAD -> models.remove(order.model().orElseThrow());
            case LEAVE -> role = EngineRole.LEAVING;
            default -> role = EngineRole.SERVING;
        }
        return SendOutcome.APPLIED;
    }

    EngineHoldings holdings() {
        return EngineHoldings.of(models, role);
    }

    ManagedEngine managed() {
        return new ManagedEngine(id, address, "g", Optional.of(holdings()), listedLeaving);
    }
}
