package org.masticweir.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.EngineId;

/** An order that is journalled and not seen to hold yet; immutable. */
public record OpenOrder(EngineId engine, Order order) {
    public OpenOrder {
        checkNotNull(engine, "engine");
        checkNotNull(order, "order");
    }
}
