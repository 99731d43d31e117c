package org.masticweir.standins.proxy;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.http.IpAddress;

/** The bodies of the proxy's control call and its answers. */
final class ProxyMessages {
    private ProxyMessages() {}

    /** An answer that says only that the call was done. */
    record Done() {}

    /**
     * One change, a list of changes, a route to add or a partition; the fields left out are null in
     * JSON.
     */
    record Control(
            String route,
            Mode mode,
            Long delayMs,
            List<Change> changes,
            Add add,
            Partition partition) {
        /** Returns the changes that this asks for, none if it only adds a route. */
        ImmutableList<Change> allChanges() {
            ImmutableList.Builder<Change> all = ImmutableList.builder();
            if (route != null || mode != null) {
                all.add(new Change(route, mode, delayMs));
            }
            if (changes != null) {
                all.addAll(changes);
            }
            return all.build();
        }
    }

    /** Sets the mode of one route; the delay counts for mode delay only, 0 if left out. */
    record Change(String route, Mode mode, Long delayMs) {
        Change {
            checkArgument(route != null, "change without a route");
            checkArgument(mode != null, "change without a mode");
            delayMs = delayMs == null ? 0 : delayMs;
            checkArgument(delayMs >= 0, "delay of %s ms", delayMs);
        }
    }

    /**
     * Sets the mode of the connections that some processes have on some routes.
     *
     * <p>It stands before the routes' own mode until it is set to pass.
     *
     * @param clients process ids; a process that is started later is not among them
     */
    record Partition(List<String> routes, List<Long> clients, Mode mode) {
        Partition {
            checkArgument(routes != null, "partition without routes");
            checkArgument(clients != null, "partition without clients");
            checkArgument(mode != null, "partition without a mode");
        }
    }

    /** Adds a route. */
    record Add(String name, String listen, String target) {
        Add {
            checkArgument(name != null, "route without a name");
            checkArgument(listen != null, "route without an address to listen on");
            checkArgument(target != null, "route without a target");
        }

        RouteSpec spec() {
            return new RouteSpec(name, IpAddress.parse(listen), IpAddress.parse(target));
        }
    }

    /** What the proxy saw, by route. */
    record Records(ImmutableList<RouteRecord> routes) {}

    /** What one route saw since it was added. */
    record RouteRecord(
            String route,
            String listen,
            String target,
            Mode mode,
            long delayMs,
            long opened,
            long open,
            long bytesUp,
            long bytesDown) {}
}
