package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.masticweir.bench.standin.StandInControl;
import org.masticweir.http.IpAddress;

/** Adds routes to the fault-injecting proxy and sets their faults; thread-safe. */
final class ProxyControl {
    private final StandInControl control;
    private final InetSocketAddress address;

    ProxyControl(StandInControl control, InetSocketAddress address) {
        this.control = checkNotNull(control, "control");
        this.address = checkNotNull(address, "address");
    }

    /** Adds a route to {@code target} and returns the address that it listens on. */
    InetSocketAddress add(String route, InetSocketAddress target) {
        send(
                "{\"add\":{\"name\":\"%s\",\"listen\":\"127.0.0.1:0\",\"target\":\"%s\"}}",
                route, IpAddress.text(target));
        return IpAddress.parse(find(route).orElseThrow().path("listen").asText());
    }

    /** Returns the address that {@code route} listens on, having added it if it was not there. */
    InetSocketAddress addOnce(String route, InetSocketAddress target) {
        return find(route)
                .map(r -> IpAddress.parse(r.path("listen").asText()))
                .orElseGet(() -> add(route, target));
    }

    /** Sets the mode of a route, such as {@code cut}. */
    void set(String route, String mode) {
        send("{\"route\":\"%s\",\"mode\":\"%s\"}", route, mode);
    }

    /** Sets the mode of several routes at one moment. */
    void setAll(List<String> routes, String mode) {
        String changes =
                routes.stream()
                        .map(r -> String.format("{\"route\":\"%s\",\"mode\":\"%s\"}", r, mode))
                        .collect(Collectors.joining(","));
        send("{\"changes\":[%s]}", changes);
    }

    /** Delays what passes on a route by {@code ms} each way. */
    void delay(String route, long ms) {
        send("{\"route\":\"%s\",\"mode\":\"delay\",\"delay_ms\":%d}", route, ms);
    }

    /** Resets the connections of a route, which passes new ones at once. */
    void reset(String route) {
        send(
                "{\"changes\":[{\"route\":\"%1$s\",\"mode\":\"cut\"},"
                        + "{\"route\":\"%1$s\",\"mode\":\"pass\"}]}",
                route);
    }

    /** Sets the mode of the connections that {@code clients}, process ids, have on the routes. */
    void partition(List<String> routes, List<Long> clients, String mode) {
        send(
                "{\"partition\":{\"routes\":[\"%s\"],\"clients\":%s,\"mode\":\"%s\"}}",
                String.join("\",\"", routes), clients, mode);
    }

    /** Returns what the proxy counted on {@code route}. */
    JsonNode record(String route) {
        return find(route).orElseThrow(() -> new AssertionError("no route " + route));
    }

    /** Lets everything pass on every route. */
    void passAll() {
        for (JsonNode route : control.records(address).path("routes")) {
            if (!route.path("mode").asText().equals("pass")) {
                set(route.path("route").asText(), "pass");
            }
        }
    }

    private Optional<JsonNode> find(String route) {
        for (JsonNode node : control.records(address).path("routes")) {
            if (node.path("route").asText().equals(route)) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    private void send(String form, Object... values) {
        String json = String.format(form, values);
        if (!control.control(address, json)) {
            throw new AssertionError("the proxy did not take " + json);
        }
    }
}
