package org.masticweir.replay;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.masticweir.config.Reliability;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.DomainId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.recovery.copy.CopyAction;
import org.masticweir.recovery.copy.CopyCommand;
import org.masticweir.recovery.copy.CopyEpoch;
import org.masticweir.recovery.copy.CopyEvent;
import org.masticweir.recovery.copy.CopyPlan;
import org.masticweir.recovery.copy.CopySender;
import org.masticweir.recovery.copy.CopyStore;
import org.masticweir.recovery.copy.CopySummary;
import org.masticweir.recovery.copy.GenerationCopy;
import org.masticweir.recovery.copy.HolderAnswer;
import org.masticweir.recovery.copy.RendezvousRanking;
import org.masticweir.recovery.copy.StoreLimits;
import org.masticweir.recovery.copy.TokenSource;
import org.masticweir.time.ManualScheduler;

/** One router of the replay: the requests it owns and the copies it holds for others. */
final class CopyNode {
    /** How long a router keeps an answer after its end. */
    static final long RETAIN_MS = 60_000;

    private static final CopyPlan PLAN = CopyPlan.defaults(Reliability.TOKENS);
    private static final int MAX_TOKENS = 10_000;

    /** Carries a command to its holder. */
    interface Network {
        void send(CopyNode from, Owned request, CopyAction.SendToHolder command);
    }

    private final RouterId id;
    private final DomainId domain;
    private final ManualScheduler scheduler;
    private final Network network;
    private final boolean heedsFences;
    private final CopyStore store = CopyStore.within(StoreLimits.defaults());
    private final Map<String, Owned> owned = new TreeMap<>();
    private ImmutableMap<RouterId, DomainId> seen = ImmutableMap.of();
    private int endsUndone;

    CopyNode(
            RouterId id,
            DomainId domain,
            ManualScheduler scheduler,
            Network network,
            boolean heedsFences) {
        this.id = id;
        this.domain = domain;
        this.scheduler = scheduler;
        this.network = network;
        this.heedsFences = heedsFences;
    }

    RouterId id() {
        return id;
    }

    DomainId domain() {
        return domain;
    }

    CopyStore store() {
        return store;
    }

    Map<String, Owned> owned() {
        return owned;
    }

    /** Returns how many requests were fenced after their callers had the end. */
    int endsUndone() {
        return endsUndone;
    }

    RendezvousRanking ranking() {
        return RendezvousRanking.of(() -> seen, domain);
    }

    /** Takes what membership now says; owners hear of each holder that is gone from it. */
    void sees(ImmutableMap<RouterId, DomainId> now) {
        ImmutableMap<RouterId, DomainId> before = seen;
        seen = now;
        before.keySet().stream()
                .filter(r -> !now.containsKey(r))
                .forEach(r -> owned.values().forEach(o -> o.on(new CopyEvent.HolderLost(r))));
    }

    Optional<CopySummary> find(RequestId request) {
        return Optional.ofNullable(owned.get(request.value()))
                .map(o -> CopySummary.owned(o.sender.epoch()))
                .or(() -> store.reads().find(request));
    }

    /** Carries out an owner's command, as the product's handlers do. */
    HolderAnswer apply(CopyCommand command) {
        if (command instanceof CopyCommand.Open open) {
            Owned own = owned.get(open.copy().request().value());
            if (own != null) {
                return new HolderAnswer.HeldByOther(own.sender.epoch());
            }
        }
        return store.apply(command, scheduler.clock().nowMs());
    }

    void submit(String request, int tokens, long tokenMs) {
        RequestId r = RequestId.of(request);
        GenerationCopy fresh =
                GenerationCopy.fresh(
                        CopyEpoch.first(id),
                        spec(r),
                        new GenerationSpec(GenerationId.of(r, 1), "3", "", 42));
        Owned o = new Owned(r, 0, tokens, tokenMs);
        o.run(CopySender.opening(PLAN, fresh, o, ranking(), scheduler.clock().nowMs()));
    }

    /** Goes on with a request that a lookup took over. */
    void goOn(GenerationCopy copy, int tokens, long tokenMs) {
        Owned o = new Owned(copy.request(), copy.tokens().length(), tokens, tokenMs);
        o.run(CopySender.takenOver(PLAN, copy, o, ranking(), scheduler.clock().nowMs()));
    }

    private static RequestSpec spec(RequestId id) {
        return new RequestSpec(
                id,
                TeamId.of("team"),
                WorkClassId.of("reports"),
                ModelId.of("report"),
                true,
                ImmutableIntArray.of(11, 12),
                "",
                MAX_TOKENS,
                false);
    }

    /** A request that this router owns, whose engine gives a token each so often. */
    final class Owned implements TokenSource {
        private final RequestId request;
        private final int wanted;
        private final long tokenMs;
        private CopySender sender;
        private int accepted;
        private int released;
        private boolean endReleased;
        private boolean stopped;
        private long wakeUps;

        private Owned(RequestId request, int accepted, int wanted, long tokenMs) {
            this.request = request;
            this.accepted = accepted;
            this.wanted = wanted;
            this.tokenMs = tokenMs;
        }

        @Override
        public ImmutableIntArray accepted(int from, int to) {
            return ImmutableIntArray.copyOf(IntStream.range(from, to));
        }

        int released() {
            return released;
        }

        boolean running() {
            return !endReleased;
        }

        boolean unprotected() {
            return sender.unprotected();
        }

        RequestId request() {
            return request;
        }

        private void run(CopySender s) {
            sender = s;
            owned.put(request.value(), this);
            act(s.start(scheduler.clock().nowMs()));
        }

        void on(CopyEvent event) {
            boolean fence =
                    event instanceof CopyEvent.Answered a
                            && a.answer() instanceof HolderAnswer.StaleEpoch;
            if (!stopped && (heedsFences || !fence)) {
                act(sender.on(event, scheduler.clock().nowMs()));
            }
        }

        private void generate() {
            if (stopped) {
                return;
            }
            if (accepted == wanted) {
                on(new CopyEvent.Ended(new AnswerEnd.Completed("")));
                return;
            }
            accepted++;
            on(new CopyEvent.Accepted(accepted));
            after(tokenMs, this::generate);
        }

        private void act(Iterable<CopyAction> actions) {
            for (CopyAction action : actions) {
                if (action instanceof CopyAction.SendToHolder s) {
                    network.send(CopyNode.this, this, s);
                } else if (action instanceof CopyAction.Start) {
                    after(tokenMs, this::generate);
                } else if (action instanceof CopyAction.ReleaseTo r) {
                    released = r.index();
                } else if (action instanceof CopyAction.ReleaseEnd) {
                    endReleased = true;
                    after(RETAIN_MS, () -> owned.remove(request.value(), this));
                } else if (action instanceof CopyAction.WakeAt wake) {
                    wakeAt(wake.atMs());
                } else if (!(action instanceof CopyAction.Unprotected)) {
                    // Fenced, or joined: another router owns the request.
                    stopped = true;
                    endsUndone += endReleased ? 1 : 0;
                    owned.remove(request.value(), this);
                }
            }
        }

        private void wakeAt(long ms) {
            long mine = ++wakeUps;
            scheduler.at(
                    ms,
                    () -> {
                        if (mine == wakeUps) {
                            on(new CopyEvent.Tick());
                        }
                    });
        }

        private void after(long ms, Runnable task) {
            scheduler.at(scheduler.clock().nowMs() + ms, task);
        }
    }
}
