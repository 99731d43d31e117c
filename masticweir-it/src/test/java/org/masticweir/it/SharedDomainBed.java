package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives one test class with its nested ones a bed of two domains, closed when the class ends. */
final class SharedDomainBed extends SharedBed<DomainBed> {
    SharedDomainBed() {
        super(DomainBed.class, DomainBed::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return outermostClass(context);
    }
}
