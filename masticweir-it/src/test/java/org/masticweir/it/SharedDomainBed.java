package org.masticweir.it;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/** Gives one test class with its nested ones a bed of two domains, healed after each test. */
final class SharedDomainBed implements ParameterResolver, AfterEachCallback {
    private static final ExtensionContext.Namespace NAMESPACE =
            ExtensionContext.Namespace.create(SharedDomainBed.class);

    @Override
    public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
        return parameter.getParameter().getType() == DomainBed.class;
    }

    @Override
    public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
        return bed(context);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        bed(context).heal();
    }

    /** The store of the outermost class closes the bed when that class ends. */
    private static DomainBed bed(ExtensionContext context) {
        ExtensionContext outermost = context;
        while (outermost.getParent().flatMap(ExtensionContext::getTestClass).isPresent()) {
            outermost = outermost.getParent().get();
        }
        return outermost
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(DomainBed.class, type -> DomainBed.start(), DomainBed.class);
    }
}
