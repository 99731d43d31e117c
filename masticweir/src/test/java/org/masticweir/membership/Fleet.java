package org.masticweir.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.time.ManualClock;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Routers' membership states that exchange heartbeats at once, under one manual clock. */
final class Fleet {
    /** Length, protocol version, type and correlation id around a heartbeat. */
    static final int FRAME_BYTES = 4 + 1 + 1 + 5;

    final ManualClock clock = ManualClock.startingAt(1_000_000);
    final Map<RouterId, MembershipState> states = new LinkedHashMap<>();
    final Map<RouterId, Membership> views = new HashMap<>();
    final Set<RouterId> paused = new HashSet<>();
    final Map<RouterId, Map<RouterId, InetSocketAddress>> learned = new HashMap<>();
    BiPredicate<RouterId, RouterId> cut = (a, b) -> false;
    long messages;
    long bytes;
    private final MembershipSettings settings;
    private final long stepMs;
    private final ArrayDeque<Runnable> inFlight = new ArrayDeque<>();
    private final Map<RouterId, RouterAddress> addresses = new LinkedHashMap<>();

    Fleet() {
        this(MembershipSettings.DEFAULT, 500);
    }

    /** Routers with {@code settings} that get a tick every {@code stepMs}. */
    Fleet(MembershipSettings settings, long stepMs) {
        this.settings = settings;
        this.stepMs = stepMs;
    }

    static RouterAddress router(int domain, int number, long incarnation) {
        try {
            byte[] ip = {10, (byte) domain, 0, (byte) number};
            return RouterAddress.of(
                    RouterId.of("router-" + domain + "-" + number),
                    DomainId.of("domain-" + domain),
                    new InetSocketAddress(InetAddress.getByAddress(ip), 7000),
                    incarnation);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static MembershipEvent.OwnState serving(long revision) {
        return new MembershipEvent.OwnState(
                MemberState.SERVING, revision, new LoadDigest(300, 40, 23_000));
    }

    RouterId add(RouterAddress where) {
        states.put(where.router(), MembershipState.of(where, settings));
        addresses.put(where.router(), where);
        return where.router();
    }

    /** Gives every router the list of all routers, and has each serve {@code revision}. */
    void listAll(long revision) {
        for (RouterId id : states.keySet()) {
            feed(id, serving(revision));
            feed(id, listOf(addresses.values(), false));
        }
    }

    /** The list names no incarnation: it can't know it. */
    static MembershipEvent.Listed listOf(Iterable<RouterAddress> routers, boolean leaving) {
        List<ListedRouter> rows = new ArrayList<>();
        for (RouterAddress r : routers) {
            RouterAddress row = RouterAddress.of(r.router(), r.domain(), r.address(), 0);
            rows.add(new ListedRouter(row, leaving));
        }
        return new MembershipEvent.Listed(rows);
    }

    void feed(RouterId to, MembershipEvent event) {
        deliver(to, event);
        while (!inFlight.isEmpty()) {
            inFlight.remove().run();
        }
    }

    void runMs(long ms) {
        for (long t = 0; t < ms; t += stepMs) {
            clock.advanceMs(stepMs);
            states.keySet().forEach(id -> feed(id, new MembershipEvent.Tick()));
        }
    }

    MemberState stateOf(RouterId at, RouterId of) {
        return views.get(at).member(of).map(Member::state).orElse(MemberState.DEAD);
    }

    private void deliver(RouterId to, MembershipEvent event) {
        if (paused.contains(to) || !states.containsKey(to)) {
            return;
        }
        for (MembershipAction a : states.get(to).apply(event, clock.nowMs())) {
            if (a instanceof MembershipAction.SendHeartbeat s) {
                carry(to, s.to(), s.beat(), true);
            } else if (a instanceof MembershipAction.AnswerHeartbeat s) {
                carry(to, s.to(), s.beat(), false);
            } else if (a instanceof MembershipAction.Publish p) {
                views.put(to, p.membership());
            } else if (a instanceof MembershipAction.LearnPeer l) {
                book(to).put(l.peer(), l.address());
            } else if (a instanceof MembershipAction.ForgetPeer f) {
                book(to).remove(f.peer());
            }
        }
    }

    /** Returns the addresses that the links of {@code id} know. */
    Map<RouterId, InetSocketAddress> book(RouterId id) {
        return learned.computeIfAbsent(id, k -> new HashMap<>());
    }

    /** Returns the addresses of the members that {@code id} may choose to hold copies. */
    Map<RouterId, InetSocketAddress> servingOf(RouterId id) {
        Map<RouterId, InetSocketAddress> serving = new HashMap<>();
        for (Member m : views.get(id).members()) {
            if (m.state().holdsCopies()) {
                serving.put(m.router(), m.where().address());
            }
        }
        return serving;
    }

    private void carry(RouterId from, RouterId to, Heartbeat beat, boolean asked) {
        messages++;
        bytes += frameBytes(beat);
        if (!cut.test(from, to)) {
            inFlight.add(() -> deliver(to, new MembershipEvent.Heard(beat, asked)));
        }
    }

    static int frameBytes(Heartbeat beat) {
        return FRAME_BYTES + encoded(beat).length;
    }

    static byte[] encoded(Heartbeat beat) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            Heartbeat.codec().encode(beat, out);
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
