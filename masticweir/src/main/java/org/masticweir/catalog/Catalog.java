package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the deployment's routes, services and teams; immutable. */
public final class Catalog {
    private final long version;
    private final RequestLimits limits;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final ImmutableMap<ServiceName, ServiceSpec> services;
    private final Map<String, Team> teamsByKey = new HashMap<>();
    private final boolean hasTeams;

    private Catalog(
            long version,
            RequestLimits limits,
            List<Route> routes,
            List<ServiceSpec> services,
            List<Team> teams) {
        this.version = version;
        this.limits = checkNotNull(limits, "limits");
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(Ascii.toLowerCase(route.host()), h -> new HashMap<>())
                    .put(route.prefix(), route);
        }
        ImmutableMap.Builder<ServiceName, ServiceSpec> byName = ImmutableMap.builder();
        services.forEach(s -> byName.put(s.name(), s));
        this.services = byName.buildKeepingLast();
        teams.forEach(t -> t.keys().forEach(k -> teamsByKey.put(k, t)));
        hasTeams = !teams.isEmpty();
    }

    public static Catalog of(
            long version,
            RequestLimits limits,
            List<Route> routes,
            List<ServiceSpec> services,
            List<Team> teams) {
        return new Catalog(version, limits, routes, services, teams);
    }

    /** Returns the version, which grows with each change. */
    public long version() {
        return version;
    }

    public RequestLimits limits() {
        return limits;
    }

    /** Returns whether requests of routes that are not open must show a team's key. */
    public boolean hasTeams() {
        return hasTeams;
    }

    /**
     * Returns the route with the longest prefix of {@code path}.
     *
     * @param host as the caller wrote it, with or without a port
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> routes = routesByHost.get(Ascii.toLowerCase(withoutPort(host)));
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the team that holds {@code key}. */
    public Optional<Team> teamOf(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
