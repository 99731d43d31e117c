package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Repeatability;
import org.masticweir.catalog.ServerIncarnation;

/**
 * Selects the servers of one request, and records which servers the request has tried and which of
 * them have its prompt or a copy of its run; owned by the traffic thread.
 */
final class RequestServers {
    private final RequestParameters request;
    private final Supplier<ImmutableList<BackendServer>> servers;
    private final ServerSelector selector;
    private final ServerHealth health;
    private final Set<ServerIncarnation> triedServers = new HashSet<>();
    private Optional<BackendServer> copyHolder = Optional.empty();
    private Optional<BackendServer> cachingEngine = Optional.empty();

    /** Whether the content is suspected: servers ended while they ran the same content. */
    private boolean mustUseLeastLoaded;

    /**
     * Creates the selection of a request that was not sent yet.
     *
     * @param servers returns the currently known servers of the service
     */
    RequestServers(
            RequestParameters request,
            Supplier<ImmutableList<BackendServer>> servers,
            ServerSelector selector,
            ServerHealth health) {
        this.request = checkNotNull(request, "request");
        this.servers = checkNotNull(servers, "servers");
        this.selector = checkNotNull(selector, "selector");
        this.health = checkNotNull(health, "health");
    }

    /** Returns the currently known servers of the service. */
    ImmutableList<BackendServer> listed() {
        return servers.get();
    }

    void setMustUseLeastLoaded(boolean mustUse) {
        mustUseLeastLoaded = mustUse;
    }

    void setCachingEngine(Optional<BackendServer> engine) {
        cachingEngine = checkNotNull(engine, "engine");
    }

    /** Records a send to {@code server}, and returns the server that should store its copy. */
    Optional<BackendServer> recordSend(BackendServer server, long nowMs) {
        triedServers.add(server.incarnation());
        copyHolder =
                request.needsCopy()
                        ? selector.selectCopyHolder(
                                listed(), server, request.size(), request.engine().get(), nowMs)
                        : Optional.empty();
        return copyHolder;
    }

    /** Records that the last send did not run, so it has no copy. */
    void recordNotRun() {
        copyHolder = Optional.empty();
    }

    ImmutableList<BackendServer> enginesToQuery(long nowMs) {
        return selector.enginesToQuery(listed(), request.size(), request.engine().get(), nowMs);
    }

    /** Returns the copy holder of the last send, if it is usable. */
    Optional<BackendServer> usableCopyHolder(long nowMs) {
        return copyHolder
                .filter(h -> !triedServers.contains(h.incarnation()) && !health.isDown(h, nowMs))
                .filter(h -> selector.remainingBlockMs(h, nowMs) == 0)
                .flatMap(this::findListed);
    }

    Optional<BackendServer> usableCachingEngine(long nowMs) {
        return cachingEngine.filter(
                e -> !triedServers.contains(e.incarnation()) && canAccept(e, nowMs));
    }

    /** Returns the current entry of a server; empty if its incarnation is not listed. */
    Optional<BackendServer> findListed(BackendServer server) {
        return listed().stream()
                .filter(s -> s.incarnation().equals(server.incarnation()))
                .findAny();
    }

    boolean canAcceptWithPermit(BackendServer server, long nowMs) {
        return selector.canAcceptWithPermit(server, request.size(), request.engine(), nowMs);
    }

    private boolean canAccept(BackendServer server, long nowMs) {
        return selector.canAccept(server, request.size(), request.engine(), nowMs);
    }

    /**
     * Returns the best untried server. If none is left, a resumable stream may use a tried server.
     *
     * <p>Without this, a stream in a partitioned domain with two engines waits until its deadline
     * if both engines have stalled for a moment, although both run again.
     */
    Optional<BackendServer> select(long nowMs) {
        Optional<BackendServer> untried = selectExcluding(triedServers, nowMs);
        boolean isResumable = request.route().repeatability() == Repeatability.RESUMABLE;
        return untried.isPresent() || !isResumable ? untried : selectExcluding(Set.of(), nowMs);
    }

    private Optional<BackendServer> selectExcluding(Set<ServerIncarnation> excluded, long nowMs) {
        return mustUseLeastLoaded
                ? selector.selectLeastLoaded(
                        listed(), request.size(), request.engine(), excluded, nowMs)
                : selector.select(listed(), request.size(), request.engine(), excluded, nowMs);
    }

    /** Returns the time until an untried server is unblocked; see {@link ServerSelector}. */
    OptionalLong timeUntilUnblockedMs(long nowMs) {
        return selector.timeUntilUnblockedMs(listed(), triedServers, nowMs);
    }
}
