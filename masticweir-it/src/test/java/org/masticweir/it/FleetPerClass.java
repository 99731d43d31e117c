package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives each top-level test class one fleet of routers, and ends each test's faults after it. */
final class FleetPerClass extends SharedBed<RouterFleet> {
    FleetPerClass() {
        super(RouterFleet.class, RouterFleet::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return outermostClass(context);
    }
}
