package org.masticweir.bench.slopes;

import java.util.Locale;

/** What is made more of from point to point. */
public enum Sweep {
    ROUTERS,
    ENGINES,
    TEAMS,
    /** Callers' requests a second, over all routers. */
    REQUESTS_PER_S,
    ;

    /** Returns the word that files and flags use. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
