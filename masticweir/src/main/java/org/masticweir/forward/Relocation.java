package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Whether a request whose server is silent can be sent to another server now; immutable.
 *
 * @param isPossible whether the request would be sent to another server at once
 * @param neededPermit permit that the request needs first; empty if it needs none, or if it can't
 *     be sent with a permit either
 */
public record Relocation(boolean isPossible, Optional<Step> neededPermit) {
    private static final Relocation POSSIBLE = new Relocation(true, Optional.empty());
    private static final Relocation IMPOSSIBLE = new Relocation(false, Optional.empty());

    public Relocation {
        checkNotNull(neededPermit, "neededPermit");
    }

    static Relocation possible() {
        return POSSIBLE;
    }

    static Relocation impossible() {
        return IMPOSSIBLE;
    }

    static Relocation after(Step permit) {
        return new Relocation(false, Optional.of(permit));
    }
}
