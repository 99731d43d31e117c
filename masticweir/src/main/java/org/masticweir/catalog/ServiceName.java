package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;

/** Names a service: backend servers that are alike. */
public record ServiceName(String value) {
    public ServiceName {
        checkArgument(!value.isEmpty(), "empty service name");
    }

    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
