package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Member;
import org.masticweir.membership.Membership;
import org.masticweir.membership.RouterAddress;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.reports.CandidatesAsk;
import org.masticweir.reports.EngineDigest;
import org.masticweir.reports.EngineShare;
import org.masticweir.reports.FarCandidates;
import org.masticweir.routing.HealthView;
import org.masticweir.time.Clock;

/**
 * Learns a few engines of each other domain from a router there; owned by the control thread.
 *
 * <p>One candidate of each domain is read in turn, which measures the way there; all others are
 * known by the answers alone. Failure guarded against: no router of a domain answers although its
 * engines may. It shows as an answer that has grown old, and a few of the domain's engines are then
 * read by this router itself, so that a router cut off from all others still spills.
 */
final class FarReports {
    private static final int PER_MODEL = 3;

    /** Polls between two asks of a domain, and polls after which an answer is too old. */
    private static final int ASK_EVERY = 3;

    private static final int LAPSE_POLLS = 10;

    private final EnginePoller engines;
    private final PeerLinks links;
    private final Executor control;
    private final Clock clock;
    private final RouterAddress self;
    private final long pollMs;
    private final Map<DomainId, Answer> answers = new HashMap<>();
    private final Set<EngineId> read = new HashSet<>();
    private Predicate<EngineId> inUse = engine -> false;
    private long turn;

    FarReports(
            EnginePoller engines,
            PeerLinks links,
            Executor control,
            Clock clock,
            RouterAddress self,
            long pollMs) {
        this.engines = checkNotNull(engines, "engines");
        this.links = checkNotNull(links, "links");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.self = checkNotNull(self, "self");
        this.pollMs = pollMs;
    }

    /** Registers the handler; call before the links start. */
    void attach() {
        links.on(
                CandidatesAsk.class,
                (from, ask, reply) -> control.execute(() -> answer(from, ask, reply)));
    }

    /** Asks a router of each other domain at one poll in a few, and chooses what to read here. */
    void tick(Membership members) {
        if (turn % ASK_EVERY == 0) {
            askAll(members);
        }
        read.clear();
        Map<DomainId, List<EngineRecord>> byDomain = new HashMap<>();
        for (EngineRecord r : engines.records()) {
            if (!r.backEnd().domain().equals(self.domain())) {
                byDomain.computeIfAbsent(r.backEnd().domain(), d -> new ArrayList<>()).add(r);
            }
        }
        long nowMs = clock.nowMs();
        byDomain.forEach((domain, records) -> plan(domain, records, nowMs));
        turn++;
    }

    /** Takes how to tell that this router has work on an engine, which it then reads itself. */
    void inUse(Predicate<EngineId> now) {
        inUse = checkNotNull(now, "now");
    }

    /** Tells whether the engine of another domain is read by this router in this poll. */
    boolean reads(EngineRecord record) {
        EngineId id = record.backEnd().id();
        return inUse.test(id) || read.contains(id);
    }

    private void plan(DomainId domain, List<EngineRecord> records, long nowMs) {
        long lapseMs = LAPSE_POLLS * pollMs;
        Optional<Answer> answer =
                Optional.ofNullable(answers.get(domain)).filter(a -> nowMs - a.atMs < lapseMs);
        if (answer.isEmpty()) {
            read.addAll(fallback(records));
        } else if (turn % ASK_EVERY == 0 && !answer.get().candidates.isEmpty()) {
            ImmutableList<EngineId> candidates = answer.get().candidates;
            read.add(candidates.get((int) (turn / ASK_EVERY % candidates.size())));
        }
        records.stream()
                .filter(r -> r.load().isPresent() && nowMs - r.reportedAtMs() >= lapseMs)
                .forEach(EngineRecord::lapse);
    }

    private Set<EngineId> fallback(List<EngineRecord> records) {
        Map<String, List<EngineId>> groups = new HashMap<>();
        for (EngineRecord r : records) {
            String group = r.backEnd().group();
            groups.computeIfAbsent(group, g -> new ArrayList<>()).add(r.backEnd().id());
        }
        Set<EngineId> some = new HashSet<>();
        groups.values().forEach(g -> some.addAll(FarCandidates.first(g, self.router(), PER_MODEL)));
        return some;
    }

    private void askAll(Membership members) {
        Map<DomainId, Member> heardLast = new HashMap<>();
        for (RouterId id : members.servingElsewhere()) {
            Member m = members.member(id).orElseThrow();
            heardLast.merge(m.domain(), m, (a, b) -> a.lastHeardMs() >= b.lastHeardMs() ? a : b);
        }
        heardLast.values().forEach(this::ask);
    }

    private void ask(Member peer) {
        long askedAtMs = clock.nowMs();
        links.ask(peer.router(), new CandidatesAsk(PER_MODEL), ASK_EVERY * pollMs)
                .thenAcceptAsync(message -> onAnswer(peer.domain(), message, askedAtMs), control);
    }

    private void onAnswer(DomainId domain, PeerMessage message, long askedAtMs) {
        if (!(message instanceof EngineShare share)) {
            return;
        }
        long nowMs = clock.nowMs();
        List<EngineId> candidates = new ArrayList<>();
        for (EngineDigest digest : share.digests()) {
            Optional<EngineRecord> record =
                    engines.record(digest.engine())
                            .filter(r -> r.backEnd().domain().equals(domain));
            if (record.isPresent() && digest.reading().isPresent()) {
                candidates.add(digest.engine());
                ReportSharing.take(record.get(), digest.reading().get(), nowMs);
            }
        }
        answers.put(domain, new Answer(ImmutableList.copyOf(candidates), nowMs));
        lapseOthers(domain, candidates, askedAtMs);
    }

    /**
     * Forgets the loads of engines that the domain no longer names.
     *
     * <p>Failure guarded against: an engine leaves, so its domain names it no more, and what this
     * router heard before still shows it as live. Engines that this router uses it reads itself.
     */
    private void lapseOthers(DomainId domain, List<EngineId> candidates, long askedAtMs) {
        for (EngineRecord r : engines.records()) {
            EngineId id = r.backEnd().id();
            boolean other = r.backEnd().domain().equals(domain) && !candidates.contains(id);
            if (other && !inUse.test(id) && r.reportedAtMs() < askedAtMs) {
                r.lapse();
            }
        }
    }

    private void answer(RouterId asker, CandidatesAsk ask, Reply reply) {
        long nowMs = clock.nowMs();
        HealthView health = engines.watch().view(nowMs);
        List<EngineDigest> fit =
                engines.records().stream()
                        .filter(r -> r.backEnd().domain().equals(self.domain()))
                        .filter(r -> !r.leaving())
                        .filter(r -> nowMs - r.reportedAtMs() < LAPSE_POLLS * pollMs)
                        .filter(r -> health.of(r.backEnd().id()).state().takesNewWork())
                        .flatMap(r -> ReportSharing.digestOf(r, nowMs).stream())
                        .toList();
        int perModel = Math.max(1, Math.min(ask.perModel(), PER_MODEL));
        ImmutableList<EngineDigest> chosen = FarCandidates.of(fit, asker, perModel);
        int n = Math.min(chosen.size(), EngineShare.MAX_DIGESTS);
        reply.send(EngineShare.of(chosen.subList(0, n)));
    }

    /** What a domain's router answered last. */
    private record Answer(ImmutableList<EngineId> candidates, long atMs) {}
}
