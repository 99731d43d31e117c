package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives each top-level test class one fleet in two domains, and ends its faults after each. */
final class TwoDomainFleetPerClass extends SharedBed<TwoDomainFleet> {
    TwoDomainFleetPerClass() {
        super(TwoDomainFleet.class, TwoDomainFleet::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return outermostClass(context);
    }
}
