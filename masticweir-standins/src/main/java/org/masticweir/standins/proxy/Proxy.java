package org.masticweir.standins.proxy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.time.Clock;

/**
 * A running TCP proxy of many routes; thread-safe.
 *
 * <p>Each call waits until the event loop, which never blocks, has done it.
 */
final class Proxy implements AutoCloseable {
    private final EventLoop loop;
    private final Map<String, Route> routes = new TreeMap<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(Pipe.MAX_QUEUED_BYTES);

    private Proxy(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Starts a proxy.
     *
     * @throws IllegalArgumentException if two routes share a name or one cannot be listened on
     */
    static Proxy start(Collection<RouteSpec> specs, Clock clock) {
        Proxy proxy = new Proxy(EventLoop.start(clock));
        try {
            specs.forEach(proxy::add);
        } catch (IllegalArgumentException e) {
            proxy.close();
            throw e;
        }
        return proxy;
    }

    /** Adds a route and starts listening on its address. */
    void add(RouteSpec spec) {
        run(
                () -> {
                    if (routes.containsKey(spec.name())) {
                        throw new IllegalArgumentException("two routes named " + spec.name());
                    }
                    return routes.put(spec.name(), Route.open(loop, spec, scratch));
                });
    }

    /** Applies all changes at once, or none of them if one names an unknown route. */
    void change(List<ProxyMessages.Change> changes) {
        run(
                () -> {
                    changes.forEach(change -> route(change.route()));
                    changes.forEach(change -> route(change.route()).change(change));
                    return changes.size();
                });
    }

    /** Cuts some processes off from some routes, or lets them pass again. */
    void partition(ProxyMessages.Partition partition) {
        // New connections are sorted from here on, so that none opens unseen during the look-up.
        run(() -> eachOf(partition, route -> route.partition(partition)));
        ImmutableSet<Integer> ports = ClientPorts.of(partition.clients());
        run(() -> eachOf(partition, route -> route.sort(ports)));
    }

    private int eachOf(ProxyMessages.Partition partition, Consumer<Route> then) {
        partition.routes().stream().map(this::route).forEach(then);
        return partition.routes().size();
    }

    /** Returns the address that a route listens on, with the port taken. */
    InetSocketAddress address(String name) {
        return run(() -> route(name).address());
    }

    ProxyMessages.Records records() {
        return run(
                () ->
                        new ProxyMessages.Records(
                                routes.values().stream()
                                        .map(Route::toRecord)
                                        .collect(ImmutableList.toImmutableList())));
    }

    @Override
    public void close() {
        loop.close();
    }

    private Route route(String name) {
        Route route = routes.get(name);
        if (route == null) {
            throw MasticweirException.notRun(ErrorCode.NOT_FOUND, "no route " + name);
        }
        return route;
    }

    private <T> T run(Supplier<T> task) {
        try {
            return loop.submit(task).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw e;
        }
    }
}
