package org.masticweir.standins.proxy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.http.IpAddress;

/** Names a route, the address that it listens on and the one that it connects to. */
record RouteSpec(String name, InetSocketAddress listen, InetSocketAddress target) {
    private static final int ADDRESSES = 2;

    RouteSpec {
        checkNotNull(name, "name");
        checkArgument(!name.isEmpty(), "route without a name");
        checkNotNull(listen, "listen");
        checkNotNull(target, "target");
    }

    /**
     * Returns the route written as {@code name=LISTEN,TARGET}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static RouteSpec parse(String text) {
        int equals = text.indexOf('=');
        checkArgument(equals > 0, "route is not name=listen,target: %s", text);
        List<String> addresses = Splitter.on(',').splitToList(text.substring(equals + 1));
        checkArgument(addresses.size() == ADDRESSES, "route is not name=listen,target: %s", text);
        return new RouteSpec(
                text.substring(0, equals),
                IpAddress.parse(addresses.get(0)),
                IpAddress.parse(addresses.get(1)));
    }
}
