package org.masticweir.reports;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.engine.LoadReport;

/**
 * What one router read of an engine, as it tells others; immutable.
 *
 * @param ageMs time from the reading until it is told
 * @param holdings what the engine holds; left out when the receiver was told before
 */
public record EngineReading(
        long ageMs, LoadReport load, EngineRole role, Optional<EngineHoldings> holdings) {
    public EngineReading {
        checkArgument(ageMs >= 0, "age %s ms", ageMs);
        checkNotNull(load, "load");
        checkNotNull(role, "role");
        checkNotNull(holdings, "holdings");
    }

    /** Returns the reading of an engine that holds {@code holdings}, told in full. */
    public static EngineReading full(long ageMs, LoadReport load, EngineHoldings holdings) {
        return new EngineReading(ageMs, load, holdings.role(), Optional.of(holdings));
    }

    /** Returns this reading without the models. */
    EngineReading brief() {
        return new EngineReading(ageMs, load, role, Optional.empty());
    }
}
