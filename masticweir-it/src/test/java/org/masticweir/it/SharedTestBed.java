package org.masticweir.it;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/** Gives every test class the one test bed, and ends each test's faults after it. */
final class SharedTestBed implements ParameterResolver, AfterEachCallback {
    private static final ExtensionContext.Namespace NAMESPACE =
            ExtensionContext.Namespace.create(SharedTestBed.class);

    @Override
    public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
        return parameter.getParameter().getType() == TestBed.class;
    }

    @Override
    public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
        return bed(context);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        bed(context).heal();
    }

    /** The root store closes the bed when the whole run ends. */
    private static TestBed bed(ExtensionContext context) {
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(TestBed.class, type -> TestBed.start(), TestBed.class);
    }
}
