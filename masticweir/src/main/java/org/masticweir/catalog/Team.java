package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A team and the keys that its callers show; immutable.
 *
 * @param priority goes before that of a route
 */
public record Team(TeamName name, ImmutableSet<String> keys, OptionalInt priority) {
    public Team {
        checkNotNull(name, "name");
        checkNotNull(keys, "keys");
        checkNotNull(priority, "priority");
    }
}
