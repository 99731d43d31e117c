package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives one test class with its nested ones a fleet of routers, closed when the class ends. */
final class FleetPerClass extends SharedBed<RouterFleet> {
    FleetPerClass() {
        super(RouterFleet.class, RouterFleet::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return outermostClass(context);
    }
}
