package org.masticweir.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names one generation of a request: model, version, adapter, sampling and seed are fixed for it.
 */
public record GenerationId(RequestId request, int number) {
    public GenerationId {
        checkNotNull(request, "request");
        checkArgument(number >= 1, "generation number %s below 1", number);
    }

    public static GenerationId of(RequestId request, int number) {
        return new GenerationId(request, number);
    }

    @Override
    public String toString() {
        return request + ":" + number;
    }
}
