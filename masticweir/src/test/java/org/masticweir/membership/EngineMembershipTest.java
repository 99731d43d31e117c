package org.masticweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.engine.BackEnd;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;

/** Which back ends get new work when sources disagree. */
class EngineMembershipTest {
    private static final EngineId ID = EngineId.of("e1");
    private final EngineMembership engines = EngineMembership.of(1000, 5000);

    @BeforeEach
    void list() {
        assertEquals(EngineState.LIVE, after(listed(false, 1), 0));
    }

    private static EngineEvent listed(boolean leaving, int port) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        return new EngineEvent.Listed(
                List.of(new BackEnd(ID, address, DomainId.of("d"), "g", leaving)));
    }

    private EngineState after(EngineEvent event, long nowMs) {
        return engines.apply(event, nowMs).get(ID).state();
    }

    /** The first source to say it counts, in any order. */
    @Nested
    class Leaving {
        /** The engine says it leaves; the list, which lags, still calls it live. */
        @Test
        void ownWordCountsBeforeTheList() {
            assertEquals(EngineState.LEAVING, after(new EngineEvent.Reported(ID, true), 100));
            assertEquals(EngineState.LEAVING, after(listed(false, 1), 200));
        }

        /** The list says it leaves; the engine's own report still calls it live. */
        @Test
        void listCountsBeforeItsOwnWord() {
            assertEquals(EngineState.LEAVING, after(listed(true, 1), 100));
            assertEquals(EngineState.LEAVING, after(new EngineEvent.Reported(ID, false), 200));
        }

        @Test
        void orderCountsUntilItIsReversed() {
            assertEquals(EngineState.LEAVING, after(new EngineEvent.Ordered(ID, true), 100));
            assertEquals(EngineState.LEAVING, after(new EngineEvent.Reported(ID, false), 200));
            assertEquals(EngineState.LIVE, after(new EngineEvent.Ordered(ID, false), 300));
        }

        @Test
        void otherAddressIsAnotherInstance() {
            assertEquals(EngineState.LEAVING, after(new EngineEvent.Reported(ID, true), 100));
            assertEquals(EngineState.LIVE, after(listed(false, 2), 200));
        }

        @Test
        void unlistedEngineLeavesAndIsDroppedOnceSilent() {
            EngineEvent others =
                    new EngineEvent.Listed(
                            List.of(
                                    new BackEnd(
                                            EngineId.of("e2"),
                                            new InetSocketAddress("127.0.0.1", 2),
                                            DomainId.of("d"),
                                            "g",
                                            false)));
            assertEquals(EngineState.LEAVING, after(others, 100));
            assertFalse(engines.at(5000).containsKey(ID));
        }
    }

    /** Back ends or lists that fall silent. */
    @Nested
    class Silence {
        @Test
        void unheardEngineIsSuspectUntilItReports() {
            assertEquals(EngineState.SUSPECT, engines.at(1000).get(ID).state());
            assertEquals(EngineState.LIVE, after(new EngineEvent.Reported(ID, false), 1500));
        }

        /** The platform restarts with an empty list; engines that report must not be dropped. */
        @Test
        void emptyListIsNotBelieved() {
            assertEquals(EngineState.LIVE, after(new EngineEvent.Listed(List.of()), 100));
        }
    }
}
