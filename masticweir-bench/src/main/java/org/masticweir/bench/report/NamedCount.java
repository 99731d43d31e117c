package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

/** How many calls ended under one code or verdict. */
public record NamedCount(String name, long calls) {
    public NamedCount {
        checkNotNull(name, "name");
    }
}
