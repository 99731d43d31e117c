package org.masticweir.standins.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;

/** What one service stand-in is like. */
record ServiceSettings(InetSocketAddress listen, String id, long serviceMs, int maxConcurrent) {
    ServiceSettings {
        checkNotNull(listen, "listen");
        checkNotNull(id, "id");
        checkArgument(serviceMs >= 0, "service-ms %s is below 0", serviceMs);
        checkArgument(maxConcurrent >= 1, "max-concurrent %s is below 1", maxConcurrent);
    }
}
