package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Lists;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.Deployment;
import org.masticweir.control.EngineHoldings;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Member;
import org.masticweir.membership.MemberState;
import org.masticweir.membership.Membership;
import org.masticweir.membership.RouterAddress;
import org.masticweir.peer.PeerLinks;
import org.masticweir.reports.EngineDigest;
import org.masticweir.reports.EngineReading;
import org.masticweir.reports.EngineShare;
import org.masticweir.reports.ReadingDuty;
import org.masticweir.reports.ToldReports;
import org.masticweir.routing.EngineState;
import org.masticweir.routing.HealthView;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/**
 * Reads engines, alone or in turns with the other routers of the domain; owned by the control
 * thread, calls do not block it.
 *
 * <p>Up to {@code share_above} back ends every router reads each of them. Above, {@link
 * ReadingDuty} says which ones it reads, the rest is told by peers, and {@link FarReports} sees to
 * the engines of other domains. Health is judged by own reads only: an engine that a peer could not
 * read, or that is suspect here, is read by this router as well.
 */
final class ReportSharing {
    private static final Logger LOG = LogManager.getLogger(ReportSharing.class);

    /** Polls within which each reading is told again; send counts reach back over 3.2 s. */
    private static final int REPEAT_POLLS = 2;

    /** Silence, in tenths of a poll, after which a reader is stood in for. */
    private static final int SILENCE_TENTHS = 35;

    /** A back end of which nothing is known is read at one poll in so many. */
    private static final int UNKNOWN_EVERY = 10;

    private final EnginePoller engines;
    private final Supplier<Membership> membership;
    private final PeerLinks links;
    private final Executor control;
    private final Clock clock;
    private final RouterAddress self;
    private final DaemonSettings.Engines settings;
    private final ReadingDuty duty;
    private final ToldReports told;
    private final FarReports far;
    private final Map<EngineId, Boolean> answers = new HashMap<>();
    private final Set<EngineId> doubted = new HashSet<>();
    private ImmutableSet<RouterId> peers = ImmutableSet.of();
    private boolean sharing;
    private long turn;
    private long nextPollMs = Long.MIN_VALUE;

    ReportSharing(
            EnginePoller engines,
            Supplier<Membership> membership,
            PeerLinks links,
            Executor control,
            Clock clock,
            RouterAddress self,
            DaemonSettings.Engines settings) {
        this.engines = checkNotNull(engines, "engines");
        this.membership = checkNotNull(membership, "membership");
        this.links = checkNotNull(links, "links");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.self = checkNotNull(self, "self");
        this.settings = checkNotNull(settings, "settings");
        int pollMs = settings.sharedPollMs();
        duty = ReadingDuty.of(self.router(), pollMs * SILENCE_TENTHS / 10);
        told = ToldReports.repeating((long) pollMs * REPEAT_POLLS);
        far = new FarReports(engines, links, control, clock, self, pollMs);
    }

    /** Registers the handlers; call before the links start. */
    void attach() {
        links.on(
                EngineShare.class,
                (from, share, reply) -> control.execute(() -> heard(from, share)));
        far.attach();
        engines.onRead(this::onRead);
    }

    /** Takes how to tell that this router has work on an engine. */
    void inUse(Predicate<EngineId> now) {
        far.inUse(now);
    }

    /** Reads what is due and tells peers what is news; call every {@code state_poll_ms}. */
    void poll(Deployment deployment, MemberState ownState) {
        long nowMs = clock.nowMs();
        share(engines.records().size() > settings.shareAbove());
        if (!sharing) {
            engines.poll(deployment, record -> true);
            return;
        }
        HealthView health = engines.watch().view(nowMs);
        if (nowMs < nextPollMs) {
            engines.poll(deployment, record -> inDoubt(record, health));
        } else {
            nextPollMs = nowMs + settings.sharedPollMs();
            takeMembers(ownState);
            far.tick(membership.get());
            engines.poll(deployment, record -> reads(record, health, nowMs));
            turn++;
        }
        tell(nowMs);
    }

    private void share(boolean now) {
        if (now != sharing) {
            LOG.info(
                    "routing: {} back ends listed, reports {}",
                    engines.records().size(),
                    now ? "shared in the domain" : "all read here");
            sharing = now;
            told.tellAll();
        }
    }

    private void takeMembers(MemberState ownState) {
        Membership now = membership.get();
        Set<RouterId> readers = new HashSet<>(now.servingHere());
        if (ownState == MemberState.SERVING) {
            readers.add(self.router());
        }
        duty.readers(readers);
        ImmutableSet<RouterId> near =
                now.members().stream()
                        .filter(m -> m.domain().equals(self.domain()))
                        .filter(m -> m.state().announced())
                        .map(Member::router)
                        .collect(ImmutableSet.toImmutableSet());
        if (!peers.containsAll(near)) {
            told.tellAll();
        }
        peers = near;
        Set<EngineId> known = new HashSet<>();
        engines.records().forEach(r -> known.add(r.backEnd().id()));
        duty.retain(known);
        answers.keySet().retainAll(known);
        doubted.retainAll(known);
    }

    /** Tells whether a peer, or this router, failed to read an engine that is not suspect yet. */
    private boolean inDoubt(EngineRecord record, HealthView health) {
        EngineId id = record.backEnd().id();
        return doubted.contains(id) && health.of(id).state() != EngineState.SUSPECT;
    }

    private boolean reads(EngineRecord record, HealthView health, long nowMs) {
        EngineId id = record.backEnd().id();
        if (doubted.contains(id) || health.of(id).state() == EngineState.SUSPECT) {
            return true;
        }
        if (!record.backEnd().domain().equals(self.domain())) {
            return far.reads(record);
        }
        boolean unknown = record.load().isEmpty() && turn % UNKNOWN_EVERY == 0;
        return unknown || duty.reads(id, turn, nowMs);
    }

    private void onRead(EngineRecord record, boolean answered) {
        EngineId id = record.backEnd().id();
        answers.put(id, answered);
        if (answered) {
            doubted.remove(id);
        } else {
            doubted.add(id);
        }
    }

    /** Tells the peers what this router read of its domain's engines by duty. */
    private void tell(long nowMs) {
        List<EngineDigest> own =
                engines.records().stream()
                        .filter(r -> r.backEnd().domain().equals(self.domain()))
                        .filter(r -> answers.containsKey(r.backEnd().id()))
                        .filter(r -> duty.tells(r.backEnd().id(), nowMs))
                        .flatMap(r -> digest(r, nowMs).stream())
                        .toList();
        ImmutableList<EngineDigest> due = told.due(own, nowMs);
        for (List<EngineDigest> part : Lists.partition(due, EngineShare.MAX_DIGESTS)) {
            EngineShare share = EngineShare.of(part);
            peers.forEach(peer -> links.send(peer, share));
        }
    }

    private Optional<EngineDigest> digest(EngineRecord r, long nowMs) {
        EngineId id = r.backEnd().id();
        return answers.get(id) ? digestOf(r, nowMs) : Optional.of(EngineDigest.unanswered(id));
    }

    /** Returns what is known of {@code r}, in full; empty while not all of it is. */
    static Optional<EngineDigest> digestOf(EngineRecord r, long nowMs) {
        if (r.load().isEmpty() || r.holdings().isEmpty()) {
            return Optional.empty();
        }
        long ageMs = Math.max(0, nowMs - r.reportedAtMs());
        EngineReading reading = EngineReading.full(ageMs, r.load().get(), r.holdings().get());
        return Optional.of(EngineDigest.of(r.backEnd().id(), reading));
    }

    private void heard(RouterId from, EngineShare share) {
        long nowMs = clock.nowMs();
        for (EngineDigest digest : share.digests()) {
            Optional<EngineRecord> record = engines.record(digest.engine());
            if (record.isPresent() && digest.reading().isPresent()) {
                duty.heard(digest.engine(), from, nowMs);
                take(record.get(), digest.reading().get(), nowMs);
            } else if (record.isPresent()) {
                doubted.add(digest.engine());
            }
        }
    }

    /** Takes what a peer read, unless something later is known here. */
    static void take(EngineRecord record, EngineReading reading, long nowMs) {
        if (record.reportedLater(reading.load(), nowMs - reading.ageMs())) {
            reading.holdings()
                    .or(() -> record.holdings().map(h -> inRole(h, reading)))
                    .ifPresent(record::holds);
        }
    }

    private static EngineHoldings inRole(EngineHoldings held, EngineReading reading) {
        return EngineHoldings.of(held.models(), reading.role());
    }
}
