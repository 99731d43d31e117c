package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.masticweir.id.DomainId;
import org.masticweir.instances.InstanceNews;
import org.masticweir.instances.SharedInstances;
import org.masticweir.membership.Membership;
import org.masticweir.peer.PeerLinks;
import org.masticweir.store.InstanceList;
import org.masticweir.store.InstanceRecord;
import org.masticweir.store.ReadOutcome;
import org.masticweir.time.Clock;

/**
 * Reads the instance list in turns with the domain's other routers; owned by the control thread.
 */
final class InstanceSharing {
    private final SharedInstances instances;
    private final InstanceList platform;
    private final PeerLinks links;
    private final Supplier<Membership> membership;
    private final Executor control;
    private final Clock clock;
    private final DomainId domain;
    private final long timeoutMs;
    private final Consumer<List<InstanceRecord>> onList;

    /**
     * Creates what reads nothing until {@link #poll}.
     *
     * @param onList told the list after each read and each change
     */
    InstanceSharing(
            SharedInstances instances,
            InstanceList platform,
            PeerLinks links,
            Supplier<Membership> membership,
            Executor control,
            Clock clock,
            DomainId domain,
            long timeoutMs,
            Consumer<List<InstanceRecord>> onList) {
        this.instances = checkNotNull(instances, "instances");
        this.platform = checkNotNull(platform, "platform");
        this.links = checkNotNull(links, "links");
        this.membership = checkNotNull(membership, "membership");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.domain = checkNotNull(domain, "domain");
        this.timeoutMs = timeoutMs;
        this.onList = checkNotNull(onList, "onList");
    }

    /** Registers the handler; call before the links start. */
    void attach() {
        links.on(InstanceNews.class, (from, news, reply) -> control.execute(() -> heard(news)));
    }

    /** Reads the list if it is this router's turn. */
    void poll() {
        if (instances.due(1 + membership.get().servingHere().size(), clock.nowMs())) {
            platform.instances(timeoutMs).thenAcceptAsync(this::onRead, control);
        }
    }

    private void onRead(ReadOutcome<List<InstanceRecord>> outcome) {
        if (outcome instanceof ReadOutcome.Done<List<InstanceRecord>> done) {
            instances.read(done.value()).ifPresent(this::tell);
            onList.accept(instances.list());
        } else {
            instances.notRead();
        }
    }

    private void heard(InstanceNews news) {
        if (instances.heard(news)) {
            onList.accept(instances.list());
        }
    }

    private void tell(InstanceNews news) {
        membership.get().members().stream()
                .filter(m -> m.domain().equals(domain) && m.state().announced())
                .forEach(m -> links.send(m.router(), news));
    }
}
