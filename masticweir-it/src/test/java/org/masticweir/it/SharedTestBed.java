package org.masticweir.it;

import org.junit.jupiter.api.extension.ExtensionContext;

/** Gives every test class the one test bed, which the end of the whole run closes. */
final class SharedTestBed extends SharedBed<TestBed> {
    SharedTestBed() {
        super(TestBed.class, TestBed::start);
    }

    @Override
    ExtensionContext owner(ExtensionContext context) {
        return context.getRoot();
    }
}
