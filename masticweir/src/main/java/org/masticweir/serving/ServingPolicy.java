package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

/** The decisions and measurements that a router's requests share; all of it is thread-safe. */
public record ServingPolicy(EngineTraffic traffic) {
    public ServingPolicy {
        checkNotNull(traffic, "traffic");
    }
}
