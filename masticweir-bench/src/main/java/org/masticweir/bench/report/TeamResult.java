package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What the callers of one team saw.
 *
 * @param withinTarget calls completed within their class's targets
 */
public record TeamResult(String name, long sent, long withinTarget) {
    public TeamResult {
        checkNotNull(name, "name");
    }
}
