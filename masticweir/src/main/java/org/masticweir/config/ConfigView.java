package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.DomainId;

/**
 * What a router knows about the configuration at one moment; immutable.
 *
 * @param current the highest revision known, if any
 * @param deployment what it declares
 * @param domains the highest revision that each known domain is known to hold, 0 for none
 */
public record ConfigView(
        Optional<StoredRevision> current,
        Optional<Deployment> deployment,
        Map<DomainId, Long> domains) {
    public ConfigView {
        checkNotNull(current, "current");
        checkNotNull(deployment, "deployment");
        domains = ImmutableMap.copyOf(domains);
    }

    /** Returns the highest revision known, 0 if there is none. */
    public long revision() {
        return current.map(StoredRevision::revision).orElse(0L);
    }
}
