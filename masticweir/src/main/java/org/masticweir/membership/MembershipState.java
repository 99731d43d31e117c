package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.id.RouterId;

/**
 * Decides which routers are there and whom to send heartbeats; owned by the control thread.
 *
 * <p>Feed every event to {@link #apply} with the time of a monotonic clock and carry out the
 * actions it returns, in their order.
 */
public final class MembershipState {
    private static final Logger LOG = LogManager.getLogger(MembershipState.class);

    private final RouterAddress self;
    private final MembershipSettings settings;
    private final MemberTable members;
    private final DomainTable domains = new DomainTable();
    private final HeartbeatWriter writer;
    private final HeartbeatPace pace;
    private MembershipEvent.OwnState own =
            new MembershipEvent.OwnState(MemberState.STARTING, 0, LoadDigest.NONE);
    private List<MembershipAction> actions = new ArrayList<>();
    private long lastApplyMs = DomainView.NEVER;
    private long lastPublishMs = DomainView.NEVER;
    private long strangerTurns;
    private boolean changed = true;

    private MembershipState(RouterAddress self, MembershipSettings settings) {
        this.self = checkNotNull(self, "self");
        this.settings = checkNotNull(settings, "settings");
        pace = new HeartbeatPace(self, settings);
        members = new MemberTable(self, settings, pace);
        writer = new HeartbeatWriter(self, members, domains);
    }

    public static MembershipState of(RouterAddress self, MembershipSettings settings) {
        return new MembershipState(self, settings);
    }

    /** Takes {@code event} and returns what to do about it. */
    public List<MembershipAction> apply(MembershipEvent event, long nowMs) {
        checkNotNull(event, "event");
        actions = new ArrayList<>();
        forgiveOwnPause(nowMs);
        if (event instanceof MembershipEvent.Heard e) {
            heard(e, nowMs);
        } else if (event instanceof MembershipEvent.Listed e) {
            listed(e, nowMs);
        } else if (event instanceof MembershipEvent.LinkLost e) {
            members.get(e.peer()).ifPresent(m -> linkLost(m, nowMs));
        } else if (event instanceof MembershipEvent.LinkUp e) {
            members.get(e.peer()).ifPresent(m -> linkUp(m, nowMs));
        } else if (event instanceof MembershipEvent.OwnState e) {
            ownState(e, nowMs);
        }
        judgeAll(nowMs);
        sendDue(nowMs);
        publish(nowMs);
        return ImmutableList.copyOf(actions);
    }

    /**
     * Forgives the members a silence that was this router's own.
     *
     * <p>A paused process shows, on its return, as a long gap between two events. All members look
     * silent then, though it was this router that did not listen; without the correction it would
     * take the whole fleet for dead and drop every copy holder at once.
     */
    private void forgiveOwnPause(long nowMs) {
        long gapMs = lastApplyMs == DomainView.NEVER ? 0 : nowMs - lastApplyMs;
        lastApplyMs = nowMs;
        if (gapMs >= settings.suspectMs()) {
            LOG.warn("membership: no event for {} ms, members' silence forgiven", gapMs);
            members.all().forEach(e -> e.forgive(gapMs));
        }
    }

    private void listed(MembershipEvent.Listed event, long nowMs) {
        members.all().forEach(MemberEntry::unlist);
        for (ListedRouter l : event.routers()) {
            Optional<MemberEntry> e = members.admit(l.where(), nowMs);
            if (e.isPresent() && e.get().list(l)) {
                relearn(e.get());
            }
        }
        trim();
    }

    private void heard(MembershipEvent.Heard event, long nowMs) {
        Heartbeat beat = event.beat();
        RouterAddress from = beat.sender();
        if (from.router().equals(self.router()) || isOutdated(from)) {
            return;
        }
        changed |= domains.heard(from.domain(), beat.configRevision(), nowMs);
        for (DomainRevision d : beat.domains()) {
            changed |= domains.reported(d, nowMs);
        }
        beat.rumours().forEach(r -> rumoured(r, nowMs));
        members.admit(from, nowMs).ifPresent(e -> heardFrom(e, beat, nowMs));
        trim();
        if (event.asked()) {
            answer(from.router(), nowMs);
        }
    }

    /**
     * Tells whether a heartbeat is of an instance that was replaced under its id.
     *
     * <p>An instance that was paused while its successor started shows as a lower incarnation; its
     * word about itself must not undo the successor's.
     */
    private boolean isOutdated(RouterAddress from) {
        Optional<MemberEntry> known = members.get(from.router());
        return known.isPresent() && from.incarnation() < known.get().where().incarnation();
    }

    /** Takes a member's word; the links learn it then, as it may be chosen to hold copies. */
    private void heardFrom(MemberEntry e, Heartbeat beat, long nowMs) {
        RouterAddress before = e.where();
        e.heard(beat, nowMs);
        judge(e, nowMs);
        if (!before.equals(e.where())) {
            changed = true;
        }
        if (!before.address().equals(e.where().address())) {
            relearn(e);
        }
        learn(e);
    }

    private void rumoured(RouterAddress r, long nowMs) {
        if (r.router().equals(self.router()) || isOutdated(r)) {
            return;
        }
        Optional<MemberEntry> known = members.admit(r, nowMs);
        if (known.isEmpty()) {
            return;
        }
        MemberEntry e = known.get();
        if (r.incarnation() > e.where().incarnation() && e.move(r)) {
            relearn(e);
        }
        if (e.judged() == MemberState.DEAD && e.tryFailed(nowMs)) {
            e.beatNextAt(nowMs);
        }
    }

    /**
     * Answers a heartbeat, and puts off the own one to the same peer.
     *
     * <p>An exchange tells both sides all there is. Whoever asks first goes on asking, since the
     * other's turn comes a quarter later; if it falls silent, that quarter is all that is lost.
     */
    private void answer(RouterId to, long nowMs) {
        Optional<MemberEntry> e = members.get(to);
        long turn = e.isPresent() ? e.get().nextTurn() : strangerTurns++;
        e.ifPresent(m -> m.beatNextAt(nowMs + intervalMs(m) * 5 / 4));
        actions.add(
                new MembershipAction.AnswerHeartbeat(
                        to, writer.compose(own, pace.intervalMs(), to, turn, nowMs)));
    }

    /** Takes the own state; peers hear of a new state or revision at once, of load in time. */
    private void ownState(MembershipEvent.OwnState next, long nowMs) {
        boolean news = next.state() != own.state() || next.configRevision() != own.configRevision();
        own = next;
        if (news) {
            domains.heard(self.domain(), next.configRevision(), nowMs);
            members.peers().forEach(e -> e.beatNextAt(nowMs));
            changed = true;
        }
    }

    /** Makes the member suspect at once, and asks it soon, as it may just have dialled anew. */
    private void linkLost(MemberEntry e, long nowMs) {
        e.linkLost();
        e.beatNextAt(nowMs + intervalMs(e) / 4);
    }

    /**
     * Asks a member at once whose link has come up.
     *
     * <p>Failure guarded against: two domains meet again just before their silence counts as death.
     * Both sides drop the new link, and dial again as seldom as they do for dead members.
     */
    private void linkUp(MemberEntry e, long nowMs) {
        e.linkUp(nowMs);
        e.beatNextAt(nowMs);
    }

    private void judgeAll(long nowMs) {
        Set<MemberEntry> peers = ImmutableSet.copyOf(members.peers());
        for (MemberEntry e : ImmutableList.copyOf(members.all())) {
            boolean dead = e.judged() == MemberState.DEAD;
            if (!dead && !peers.contains(e) && e.silent(nowMs)) {
                setAside(e, nowMs);
            }
            judge(e, nowMs);
            if (e.judged() == MemberState.DEAD) {
                tendDead(e, nowMs);
            }
        }
    }

    /**
     * Forgets what a replacement said once it is silent.
     *
     * <p>No heartbeats go to it, so its silence says nothing; judged by it, members that live would
     * be shown as dead.
     */
    private void setAside(MemberEntry e, long nowMs) {
        forget(e);
        e.reset(nowMs);
        if (!e.listed()) {
            members.remove(e);
        }
        changed = true;
    }

    private void judge(MemberEntry e, long nowMs) {
        MemberState before = e.judged();
        if (!e.judge(nowMs)) {
            return;
        }
        LOG.info("membership: {} is {}, was {}", e.router(), e.judged(), before);
        changed = true;
        if (e.judged() == MemberState.DEAD) {
            forget(e);
            e.startRetries(nowMs);
        }
    }

    /** Drops a dead member that is not listed; tries a listed one again, ever more rarely. */
    private void tendDead(MemberEntry e, long nowMs) {
        if (!e.listed()) {
            forget(e);
            members.remove(e);
            changed = true;
        } else if (e.beatDue(nowMs)) {
            send(e, nowMs);
            e.tried(nowMs, settings.maxRetryMs());
        } else if (e.tryFailed(nowMs)) {
            forget(e);
        }
    }

    private void sendDue(long nowMs) {
        List<MemberEntry> peers = members.peers();
        int far = (int) peers.stream().filter(e -> members.isFar(e.domain())).count();
        pace.adjust(peers.size() - far, far, nowMs);
        for (MemberEntry e : peers) {
            if (e.beatDue(nowMs)) {
                send(e, nowMs);
                e.beatNextAt(nowMs + intervalMs(e));
            }
        }
    }

    private void send(MemberEntry e, long nowMs) {
        learn(e);
        long turn = e.nextTurn();
        Heartbeat beat = writer.compose(own, pace.intervalMs(), e.router(), turn, nowMs);
        actions.add(new MembershipAction.SendHeartbeat(e.router(), beat));
    }

    private long intervalMs(MemberEntry e) {
        return pace.intervalMs() * members.factor(e.domain());
    }

    private void trim() {
        List<MemberEntry> gone = members.trim();
        gone.forEach(this::forget);
        changed |= !gone.isEmpty();
    }

    private void forget(MemberEntry e) {
        if (e.unlearn()) {
            actions.add(new MembershipAction.ForgetPeer(e.router()));
        }
    }

    private void learn(MemberEntry e) {
        if (!e.learn()) {
            actions.add(new MembershipAction.LearnPeer(e.router(), e.where().address()));
        }
    }

    /** Has all that goes to a moved member use a new link. */
    private void relearn(MemberEntry e) {
        if (e.unlearn()) {
            actions.add(new MembershipAction.ForgetPeer(e.router()));
            learn(e);
        }
        changed = true;
    }

    /** Publishes after a change, and once per interval for the times when members were heard. */
    private void publish(long nowMs) {
        boolean due =
                lastPublishMs == DomainView.NEVER
                        || nowMs - lastPublishMs >= settings.heartbeatMs();
        if (changed || due) {
            changed = false;
            lastPublishMs = nowMs;
            actions.add(new MembershipAction.Publish(snapshot()));
        }
    }

    private Membership snapshot() {
        List<Member> all = members.all().stream().map(MemberEntry::toMember).toList();
        return Membership.of(self, own.state(), all, domains.view());
    }
}
