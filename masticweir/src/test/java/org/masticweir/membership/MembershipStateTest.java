package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** Membership of two domains of three routers, under failures. */
class MembershipStateTest {
    private final Fleet fleet = new Fleet();
    private final RouterId a = fleet.add(Fleet.router(1, 1, 1));
    private final RouterId b = fleet.add(Fleet.router(1, 2, 1));
    private final RouterId c = fleet.add(Fleet.router(1, 3, 1));
    private final RouterId x = fleet.add(Fleet.router(2, 1, 1));
    private final RouterId y = fleet.add(Fleet.router(2, 2, 1));
    private final RouterId z = fleet.add(Fleet.router(2, 3, 1));
    private final DomainId other = DomainId.of("domain-2");

    @BeforeEach
    void settle() {
        fleet.listAll(5);
        fleet.runMs(7000);
        for (RouterId id : List.of(b, c)) {
            assertEquals(MemberState.SERVING, fleet.stateOf(a, id));
        }
        assertTrue(fleet.views.get(a).servingElsewhere().size() >= 2);
    }

    private boolean crosses(RouterId p, RouterId q) {
        return Set.of(a, b, c).contains(p) != Set.of(a, b, c).contains(q);
    }

    /** Silence and return. */
    @Nested
    class Silence {
        /**
         * A router is paused by its host and gets no copies while it is silent. When it returns it
         * serves again. It must not take its own absence for the death of all the others.
         */
        @Test
        void pausedRouterIsSuspectThenServes() {
            fleet.paused.add(b);
            fleet.runMs(8000);
            assertEquals(MemberState.SUSPECT, fleet.stateOf(a, b));
            assertFalse(fleet.views.get(a).servingHere().contains(b));
            fleet.runMs(20_000);
            assertEquals(MemberState.DEAD, fleet.stateOf(a, b));
            fleet.paused.remove(b);
            fleet.feed(b, new MembershipEvent.Tick());
            assertEquals(MemberState.SERVING, fleet.stateOf(b, c));
            fleet.runMs(4000);
            assertEquals(MemberState.SERVING, fleet.stateOf(a, b));
        }

        /**
         * Two domains lose each other for ten minutes. Each goes on with its own members. After the
         * heal both find the other again without the platform, and its newer configuration.
         */
        @Test
        void partitionedDomainsFindEachOther() {
            fleet.cut = this::apart;
            fleet.runMs(600_000);
            assertEquals(List.of(), fleet.views.get(a).servingElsewhere());
            assertEquals(2, fleet.views.get(a).servingHere().size());
            List.of(x, y, z).forEach(id -> fleet.feed(id, Fleet.serving(6)));
            assertEquals(5, fleet.views.get(a).domain(other).orElseThrow().configRevision());
            fleet.cut = (p, q) -> false;
            fleet.runMs(MembershipSettings.DEFAULT.maxRetryMs() + 1000);
            Membership seen = fleet.views.get(a);
            assertTrue(seen.servingElsewhere().size() >= 2);
            assertEquals(6, seen.domain(other).orElseThrow().configRevision());
        }

        private boolean apart(RouterId p, RouterId q) {
            return crosses(p, q);
        }

        /** A router dies: its connections reset, and it is suspect before any silence is long. */
        @Test
        void lostLinkMakesSuspectUntilHeard() {
            fleet.cut = (p, q) -> p.equals(b) || q.equals(b);
            fleet.feed(a, new MembershipEvent.LinkLost(b));
            assertEquals(MemberState.SUSPECT, fleet.stateOf(a, b));
            fleet.cut = (p, q) -> false;
            fleet.runMs(1000);
            assertEquals(MemberState.SERVING, fleet.stateOf(a, b));
        }

        /**
         * Two routers meet again just before each counts as dead for the other: a change of the
         * configuration came eleven seconds later than it could.
         */
        @Test
        void memberWhoseLinkComesUpIsAskedBeforeItCountsAsDead() {
            long beatMs = MembershipSettings.DEFAULT.heartbeatMs();
            long deadMs = MembershipSettings.DEFAULT.deadMs(beatMs);
            fleet.cut = (p, q) -> p.equals(b) || q.equals(b);
            fleet.runMs(deadMs - beatMs - 100);
            fleet.feed(a, new MembershipEvent.LinkUp(b));
            fleet.runMs(beatMs + 200);
            assertEquals(MemberState.SUSPECT, fleet.stateOf(a, b));
            assertEquals(MemberState.DEAD, fleet.stateOf(c, b));
            fleet.runMs(deadMs);
            assertEquals(MemberState.DEAD, fleet.stateOf(a, b));
        }

        /**
         * Two domains meet again as each counts as dead for the other: the link's next dial was not
         * due before, and a change of the configuration came eleven seconds later than it could.
         */
        @Test
        void domainThatReturnsAsItCountsAsDeadIsHeardAfterTwoHeartbeats() {
            Fleet pair = new Fleet();
            RouterId here = pair.add(Fleet.router(1, 1, 1));
            RouterId there = pair.add(Fleet.router(2, 1, 1));
            pair.listAll(5);
            pair.runMs(7000);
            pair.cut = (p, q) -> true;
            int farFactor = MembershipSettings.DEFAULT.farFactor();
            pair.runMs(farFactor * MembershipSettings.DEFAULT.deadMs());
            assertEquals(MemberState.DEAD, pair.stateOf(here, there));
            pair.cut = (p, q) -> false;
            pair.runMs(2 * farFactor * MembershipSettings.DEFAULT.heartbeatMs());
            assertEquals(MemberState.SERVING, pair.stateOf(here, there));
            assertEquals(MemberState.SERVING, pair.stateOf(there, here));
        }

        @Test
        void deadMemberWhoseLinkComesUpIsTriedAtOnce() {
            fleet.cut = (p, q) -> p.equals(b) || q.equals(b);
            fleet.runMs(300_000);
            assertEquals(MemberState.DEAD, fleet.stateOf(a, b));
            fleet.cut = (p, q) -> false;
            fleet.feed(a, new MembershipEvent.LinkUp(b));
            fleet.runMs(100);
            assertEquals(MemberState.SERVING, fleet.stateOf(a, b));
        }

        /** A dead member costs little: tries of it grow rare, down to one a minute. */
        @Test
        void deadListedMemberIsTriedWithBackoff() {
            fleet.paused.add(b);
            fleet.runMs(300_000);
            int tries = 0;
            for (int i = 0; i < 600; i++) {
                fleet.clock.advanceMs(500);
                for (MembershipAction act :
                        fleet.states
                                .get(a)
                                .apply(new MembershipEvent.Tick(), fleet.clock.nowMs())) {
                    tries +=
                            act instanceof MembershipAction.SendHeartbeat s && s.to().equals(b)
                                    ? 1
                                    : 0;
                }
            }
            assertTrue(tries >= 4 && tries <= 6, "tries in five minutes: " + tries);
        }
    }

    /** Routers that come, leave and are replaced. */
    @Nested
    class Changes {
        /**
         * A router is paused and replaced under its id; then the old one wakes up. The new
         * incarnation counts, and what the old one still says of itself does not undo it.
         */
        @Test
        void higherIncarnationReplacesLower() {
            Heartbeat old = beat(Fleet.router(1, 2, 1), MemberState.DRAINING);
            Heartbeat young = beat(Fleet.router(1, 2, 2), MemberState.SERVING);
            fleet.feed(a, new MembershipEvent.Heard(young, false));
            fleet.feed(a, new MembershipEvent.Heard(old, true));
            Member seen = fleet.views.get(a).member(b).orElseThrow();
            assertEquals(2, seen.where().incarnation());
            assertEquals(MemberState.SERVING, seen.state());
        }

        /**
         * A router is replaced at another address. The next heartbeat of the new one must move the
         * links there at once; a copy sent to the old address would reach nobody.
         */
        @Test
        void movedRouterIsReachedAtItsNewAddress() {
            RouterAddress moved =
                    RouterAddress.of(
                            b, DomainId.of("domain-1"), Fleet.router(7, 7, 1).address(), 2);
            fleet.feed(a, new MembershipEvent.Heard(beat(moved, MemberState.SERVING), true));
            assertEquals(moved.address(), fleet.book(a).get(b));
            assertEquals(MemberState.SERVING, fleet.stateOf(a, b));
            assertTrue(fleet.book(a).entrySet().containsAll(fleet.servingOf(a).entrySet()));
        }

        /** A router drains; its peers stop giving it copies at once, though the list lags. */
        @Test
        void drainingIsHeardAtOnce() {
            fleet.feed(b, new MembershipEvent.OwnState(MemberState.DRAINING, 5, LoadDigest.NONE));
            assertEquals(MemberState.DRAINING, fleet.stateOf(a, b));
            assertFalse(fleet.views.get(a).servingHere().contains(b));
        }

        /** The list says first that a router leaves; its heartbeats still say that it serves. */
        @Test
        void leavingInTheListCountsBeforeItsOwnWord() {
            fleet.feed(a, Fleet.listOf(List.of(Fleet.router(1, 2, 1)), true));
            fleet.runMs(7000);
            assertEquals(MemberState.DRAINING, fleet.stateOf(a, b));
        }

        /** The list lags and misses live members; heartbeats decide, nobody is dropped. */
        @Test
        void laggingListDropsNobody() {
            fleet.feed(a, Fleet.listOf(List.of(), false));
            fleet.runMs(60_000);
            assertEquals(2, fleet.views.get(a).servingHere().size());
        }

        /**
         * A domain is cut off from the platform when a new router starts in it. The newcomer knows
         * one peer only; the others learn of it by rumour, and it learns of them.
         */
        @Test
        void newRouterIsFoundWithoutTheList() {
            RouterId d = fleet.add(Fleet.router(1, 4, 1));
            fleet.feed(d, Fleet.serving(5));
            fleet.feed(d, Fleet.listOf(List.of(Fleet.router(1, 1, 1)), false));
            fleet.runMs(15_000);
            assertEquals(Set.of(a, b, c), new HashSet<>(fleet.views.get(d).servingHere()));
            assertTrue(fleet.views.get(c).servingHere().contains(d));
        }

        private Heartbeat beat(RouterAddress sender, MemberState state) {
            return new Heartbeat(sender, state, 5, LoadDigest.NONE, 3000, List.of(), List.of());
        }
    }

    /** Who holds the copies of a request. */
    @Nested
    class Holders {
        /** A router that lost a peer ranks that peer's holders as the peer did, itself included. */
        @Test
        void routersOfTheDomainAgree() {
            for (int i = 0; i < 100; i++) {
                RequestId r = RequestId.of("r" + i);
                List<RouterId> chosen = fleet.views.get(a).holdersFor(r, a, 2);
                assertEquals(chosen, fleet.views.get(b).holdersFor(r, a, 2));
                assertEquals(chosen, fleet.views.get(c).holdersFor(r, a, 2));
                assertEquals(Set.of(b, c), Set.copyOf(chosen));
            }
        }

        @Test
        void otherDomainsFillUp() {
            RequestId r = RequestId.of("r1");
            List<RouterId> four = fleet.views.get(a).holdersFor(r, a, 4);
            assertEquals(fleet.views.get(a).holdersFor(r, a, 2), four.subList(0, 2));
            assertEquals(4, Set.copyOf(four).size());
            assertFalse(four.contains(a));
        }

        /** When one member goes, only the requests it held move; the others keep their holder. */
        @Test
        void onlyTheLostMembersRequestsMove() {
            Membership before = fleet.views.get(a);
            fleet.feed(a, new MembershipEvent.LinkLost(b));
            Membership after = fleet.views.get(a);
            for (int i = 0; i < 100; i++) {
                RequestId r = RequestId.of("r" + i);
                RouterId first = before.holdersFor(r, a, 1).get(0);
                assertEquals(first.equals(b) ? c : first, after.holdersFor(r, a, 1).get(0));
            }
        }
    }
}
