package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives one test class with its nested ones an {@link OrderBed}, closed when the class ends. */
final class SharedOrderBed extends SharedBed<OrderBed> {
    SharedOrderBed() {
        super(OrderBed.class, OrderBed::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return outermostClass(context);
    }
}
