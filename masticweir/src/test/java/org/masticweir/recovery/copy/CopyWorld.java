package org.masticweir.recovery.copy;

import static org.masticweir.recovery.copy.Samples.B;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.H1;
import static org.masticweir.recovery.copy.Samples.H2;
import static org.masticweir.recovery.copy.Samples.H3;
import static org.masticweir.recovery.copy.Samples.RANKING;
import static org.masticweir.recovery.copy.Samples.REQUEST;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.masticweir.config.Reliability;
import org.masticweir.id.RouterId;

/** Two owners and three holders of one request, with messages that a seed orders. */
final class CopyWorld {
    /** No owner goes on unprotected here: what the fence cannot cover is not under test. */
    private static final CopyPlan PLAN =
            new CopyPlan(Reliability.TOKENS, 100, Long.MAX_VALUE / 4, 50, Long.MAX_VALUE / 4, 3);

    private static final LookupLimits LIMITS = new LookupLimits(200, 200, Long.MAX_VALUE / 4, 3);

    private final Random random;
    private final Map<RouterId, CopyStore> stores = Map.of(H1, store(), H2, store(), H3, store());
    private final Set<RouterId> dead = new HashSet<>();
    private final List<Message> network = new ArrayList<>();
    private final Owner first;
    private Optional<CopyLookup> lookup = Optional.empty();
    private Optional<Owner> second = Optional.empty();
    private int takenTokens;
    private boolean paused;
    private long nowMs;

    CopyWorld(Random random) {
        this.random = random;
        first = new Owner(1_000, new ArrayList<>());
        first.run(CopySender.opening(PLAN, Samples.fresh(FIRST), first, RANKING, 0));
    }

    private static CopyStore store() {
        return CopyStore.within(StoreLimits.defaults());
    }

    Owner first() {
        return first;
    }

    Optional<Owner> second() {
        return second;
    }

    int takenTokens() {
        return takenTokens;
    }

    void deliver() {
        pick().ifPresent(
                        m -> {
                            if (m.isFor(first) && paused) {
                                return;
                            }
                            network.remove(m);
                            m.deliver.run();
                        });
    }

    void repeat() {
        pick().filter(m -> !(m.isFor(first) && paused)).ifPresent(m -> m.deliver.run());
    }

    /** Loses a command; a lost answer to a lookup is left out, as its holder would seem dead. */
    void loseToHolder() {
        pick().filter(m -> m.fromOwner).ifPresent(network::remove);
    }

    void accept() {
        if (!paused) {
            first.accept();
        }
        second.ifPresent(Owner::accept);
    }

    void advance(long ms) {
        nowMs += ms;
        if (!paused) {
            first.tick();
        }
        second.ifPresent(Owner::tick);
        lookup.ifPresent(l -> act(l, l.on(new LookupEvent.Tick(), nowMs)));
    }

    void cutLink(RouterId holder) {
        if (!paused) {
            first.on(new CopyEvent.HolderLost(holder));
        }
    }

    /** Kills the holder in use, unless older copies stand elsewhere: that takes two losses more. */
    void killHolder() {
        if (dead.isEmpty() && first.used.size() == 1 && second.isEmpty() && lookup.isEmpty()) {
            dead.addAll(first.used);
        }
    }

    void pauseOrWakeFirstOwner() {
        paused = !paused;
    }

    void startTakeOver() {
        if (lookup.isPresent()) {
            return;
        }
        CopyLookup l = CopyLookup.of(LIMITS, B, ImmutableList.of(H1, H2, H3));
        lookup = Optional.of(l);
        act(l, l.start(nowMs));
    }

    private Optional<Message> pick() {
        return network.isEmpty()
                ? Optional.empty()
                : Optional.of(network.get(random.nextInt(network.size())));
    }

    private void send(Owner to, boolean fromOwner, Runnable deliver) {
        network.add(new Message(to, fromOwner, deliver));
    }

    private void act(CopyLookup l, List<LookupAction> actions) {
        for (LookupAction action : actions) {
            if (action instanceof LookupAction.Find find) {
                ask(l, find.router(), h -> find(find.router(), h));
            } else if (action instanceof LookupAction.TakeOver t) {
                ask(
                        l,
                        t.holder(),
                        h -> held(t.holder(), h.takeOver(REQUEST, t.expected(), B, nowMs)));
            } else if (action instanceof LookupAction.Fence f) {
                ask(l, f.candidate(), h -> held(f.candidate(), h.fence(REQUEST, f.epoch(), nowMs)));
            } else if (action instanceof LookupAction.TakenOver taken) {
                takenTokens = taken.copy().tokens().length();
                Owner owner = new Owner(2_000, new ArrayList<>(taken.copy().tokens().asList()));
                second = Optional.of(owner);
                owner.run(CopySender.takenOver(PLAN, taken.copy(), owner, RANKING, nowMs));
            }
        }
    }

    private LookupEvent find(RouterId from, CopyStore store) {
        return new LookupEvent.FindAnswered(from, store.reads().find(REQUEST));
    }

    private static LookupEvent held(RouterId from, HolderAnswer answer) {
        return new LookupEvent.HolderAnswered(from, answer);
    }

    private void ask(CopyLookup l, RouterId holder, Function<CopyStore, LookupEvent> how) {
        Owner nobody = new Owner(0, new ArrayList<>());
        send(
                nobody,
                false,
                () -> {
                    LookupEvent event =
                            dead.contains(holder)
                                    ? new LookupEvent.HolderFailed(holder)
                                    : how.apply(stores.get(holder));
                    send(nobody, false, () -> act(l, l.on(event, nowMs)));
                });
    }

    /** One message on its way. */
    private static final class Message {
        private final Owner to;
        private final boolean fromOwner;
        private final Runnable deliver;

        Message(Owner to, boolean fromOwner, Runnable deliver) {
            this.to = to;
            this.fromOwner = fromOwner;
            this.deliver = deliver;
        }

        boolean isFor(Owner owner) {
            return to == owner;
        }
    }

    /** One router's side: its accepted tokens, its callers and its sender. */
    final class Owner implements TokenSource {
        private final int base;
        private final List<Integer> log;
        private final Set<RouterId> used = new HashSet<>();
        private int released;
        private boolean started;
        private boolean fenced;
        private boolean releasedAfterFence;
        private CopySender sender;

        Owner(int base, List<Integer> log) {
            this.base = base;
            this.log = log;
        }

        @Override
        public ImmutableIntArray accepted(int from, int to) {
            return Samples.slice(log, from, to);
        }

        List<Integer> log() {
            return log;
        }

        List<Integer> released() {
            return log.subList(0, released);
        }

        boolean fenced() {
            return fenced;
        }

        boolean releasedAfterFence() {
            return releasedAfterFence;
        }

        int holdersUsed() {
            return used.size();
        }

        void run(CopySender s) {
            sender = s;
            act(s.start(nowMs));
        }

        void accept() {
            if (started && !fenced) {
                log.add(base + log.size());
                on(new CopyEvent.Accepted(log.size()));
            }
        }

        void tick() {
            on(new CopyEvent.Tick());
        }

        void on(CopyEvent event) {
            act(sender.on(event, nowMs));
        }

        private void act(List<CopyAction> actions) {
            for (CopyAction action : actions) {
                if (action instanceof CopyAction.SendToHolder s) {
                    used.add(s.holder());
                    send(this, true, () -> command(s));
                } else if (action instanceof CopyAction.Start) {
                    started = true;
                } else if (action instanceof CopyAction.ReleaseTo r) {
                    releasedAfterFence |= fenced;
                    released = Math.max(released, r.index());
                } else if (action instanceof CopyAction.Fenced) {
                    fenced = true;
                }
            }
        }

        private void command(CopyAction.SendToHolder s) {
            if (dead.contains(s.holder())) {
                return;
            }
            HolderAnswer answer = stores.get(s.holder()).apply(s.command(), nowMs);
            send(this, false, () -> on(new CopyEvent.Answered(s.holder(), s.number(), answer)));
        }
    }
}
