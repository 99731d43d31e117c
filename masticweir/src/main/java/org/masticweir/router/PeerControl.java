package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Heartbeat;
import org.masticweir.membership.ListedRouter;
import org.masticweir.membership.LoadDigest;
import org.masticweir.membership.Member;
import org.masticweir.membership.MemberState;
import org.masticweir.membership.Membership;
import org.masticweir.membership.MembershipAction;
import org.masticweir.membership.MembershipEvent;
import org.masticweir.membership.MembershipSettings;
import org.masticweir.membership.MembershipState;
import org.masticweir.membership.RouterAddress;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkDirection;
import org.masticweir.peer.LinkListener;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.time.Clock;

/**
 * Carries out what {@link MembershipState} decides, and follows peers' configuration.
 *
 * <p>Owned by the control thread, but for {@link #membership}, which any thread may read.
 */
final class PeerControl {
    private final MembershipState state;
    private final PeerLinks links;
    private final ConfigControl config;
    private final Executor control;
    private final Clock clock;
    private final long askTimeoutMs;

    private volatile Membership membership;
    private volatile ImmutableMap<RouterId, DomainId> serving = ImmutableMap.of();
    private Consumer<RouterId> onDead = router -> {};
    private Optional<Reply> pending = Optional.empty();
    private boolean askingForConfig;

    PeerControl(
            RouterAddress self,
            MembershipSettings settings,
            PeerLinks links,
            ConfigControl config,
            Executor control,
            Clock clock) {
        this.links = checkNotNull(links, "links");
        this.config = checkNotNull(config, "config");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        state = MembershipState.of(checkNotNull(self, "self"), settings);
        askTimeoutMs = settings.suspectMs();
        membership = Membership.none(self);
    }

    /** Registers the handlers; call before the links start. */
    void attach() {
        links.on(Heartbeat.class, (from, beat, reply) -> control.execute(() -> heard(beat, reply)));
        links.on(ConfigAsk.class, (from, ask, reply) -> control.execute(() -> asked(ask, reply)));
        links.listen(new Links());
    }

    /** Has {@code listener} told of each router that is found dead. */
    void onDead(Consumer<RouterId> listener) {
        onDead = checkNotNull(listener, "listener");
    }

    /** Returns the serving members and their domains as of the last change; thread-safe. */
    ImmutableMap<RouterId, DomainId> serving() {
        return serving;
    }

    void tick() {
        apply(new MembershipEvent.Tick());
    }

    void listed(List<ListedRouter> routers) {
        apply(new MembershipEvent.Listed(routers));
    }

    /** Tells peers this router's own state. */
    void own(MemberState now, long configRevision, LoadDigest load) {
        apply(new MembershipEvent.OwnState(now, configRevision, load));
    }

    /** Returns the members as of the last change; thread-safe. */
    Membership membership() {
        return membership;
    }

    private void heard(Heartbeat beat, Reply reply) {
        pending = Optional.of(reply);
        try {
            apply(new MembershipEvent.Heard(beat, true));
        } finally {
            pending = Optional.empty();
        }
        followConfig(beat);
    }

    private void answered(PeerMessage message) {
        if (message instanceof Heartbeat beat) {
            apply(new MembershipEvent.Heard(beat, false));
            followConfig(beat);
        }
    }

    private void followConfig(Heartbeat beat) {
        long known = config.view().revision();
        if (beat.configRevision() <= known || askingForConfig) {
            return;
        }
        askingForConfig = true;
        links.ask(beat.sender().router(), new ConfigAsk(config.namedInAsks(), true), askTimeoutMs)
                .whenCompleteAsync(
                        (offer, failure) -> onOffer(Optional.ofNullable(offer)), control);
    }

    private void onOffer(Optional<PeerMessage> offer) {
        askingForConfig = false;
        if (offer.isPresent() && offer.get() instanceof ConfigOffer held) {
            held.offered().ifPresent(config::offered);
        }
    }

    private void asked(ConfigAsk ask, Reply reply) {
        reply.send(new ConfigOffer(config.offer(ask)));
    }

    private void apply(MembershipEvent event) {
        state.apply(event, clock.nowMs()).forEach(this::carryOut);
    }

    private void carryOut(MembershipAction action) {
        if (action instanceof MembershipAction.SendHeartbeat send) {
            links.ask(send.to(), send.beat(), askTimeoutMs)
                    .thenAcceptAsync(this::answered, control);
        } else if (action instanceof MembershipAction.AnswerHeartbeat answer) {
            pending.ifPresent(reply -> reply.send(answer.beat()));
        } else if (action instanceof MembershipAction.LearnPeer learn) {
            links.learn(learn.peer(), learn.address());
        } else if (action instanceof MembershipAction.ForgetPeer forget) {
            links.forget(forget.peer());
        } else if (action instanceof MembershipAction.Publish publish) {
            publish(publish.membership());
        }
    }

    private void publish(Membership now) {
        for (Member m : now.members()) {
            boolean wasDead = membership.member(m.router()).map(PeerControl::dead).orElse(false);
            if (dead(m) && !wasDead) {
                onDead.accept(m.router());
            }
        }
        membership = now;
        serving =
                now.members().stream()
                        .filter(m -> m.state().holdsCopies())
                        .collect(ImmutableMap.toImmutableMap(Member::router, Member::domain));
        now.domains().forEach(d -> config.domainHolds(d.domain(), d.configRevision()));
    }

    private static boolean dead(Member member) {
        return member.state() == MemberState.DEAD;
    }

    /** Tells the control thread of links that came up or broke. */
    private final class Links implements LinkListener {
        @Override
        public void linkUp(Hello peer, LinkDirection direction) {
            control.execute(() -> apply(new MembershipEvent.LinkUp(peer.router())));
        }

        @Override
        public void linkDown(RouterId peer, LinkDirection direction) {
            control.execute(() -> apply(new MembershipEvent.LinkLost(peer)));
        }
    }
}
