package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Supplier;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/** Gives tests one bed of processes to share, and ends each test's faults after it. */
abstract class SharedBed<B extends HealableBed> implements ParameterResolver, AfterEachCallback {
    private static final ExtensionContext.Namespace NAMESPACE =
            ExtensionContext.Namespace.create(SharedBed.class);

    private final Class<B> type;
    private final Supplier<B> start;

    SharedBed(Class<B> type, Supplier<B> start) {
        this.type = checkNotNull(type, "type");
        this.start = checkNotNull(start, "start");
    }

    /** Returns the context whose end ends the bed. */
    abstract ExtensionContext owner(ExtensionContext context);

    @Override
    public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
        return parameter.getParameter().getType() == type;
    }

    @Override
    public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
        return bed(context);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        bed(context).heal();
    }

    /** Returns the context of the top-level test class around {@code context}. */
    static ExtensionContext outermostClass(ExtensionContext context) {
        return context.getParent()
                .filter(parent -> parent.getTestClass().isPresent())
                .map(SharedBed::outermostClass)
                .orElse(context);
    }

    private B bed(ExtensionContext context) {
        return owner(context)
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(type, key -> start.get(), type);
    }
}
