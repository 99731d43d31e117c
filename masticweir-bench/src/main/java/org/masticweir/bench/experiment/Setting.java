package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A set of routers that run with one setting, and the platform they use when it is known. */
record Setting(
        String name,
        ImmutableList<InetSocketAddress> routers,
        Optional<InetSocketAddress> platform) {
    Setting {
        checkNotNull(name, "name");
        checkNotNull(routers, "routers");
        checkNotNull(platform, "platform");
    }
}
