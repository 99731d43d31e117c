package org.masticweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.config.ChangeAnswer.Outcome;
import org.masticweir.id.DomainId;

/** How revisions spread and how changes end, whatever the table and the domains do. */
class ConfigStateTest {
    private static final DomainId NORTH = DomainId.of("north");
    private static final DomainId SOUTH = DomainId.of("south");
    private static final ConfigTimings TIMINGS = new ConfigTimings(100, 3000, 5000);
    private static final String DOCUMENT = DeploymentDocumentTest.GOOD;

    private final FakeConfigTable table = new FakeConfigTable();
    private final ConfigState state = ConfigState.create(NORTH, TIMINGS);

    @BeforeEach
    void onlyOneDomain() {
        state.domainsKnown(Set.of(NORTH));
    }

    private static ProposedChange change(String id, long base) {
        return new ProposedChange(id, base, "ada", 1, DOCUMENT, false);
    }

    private static StoredRevision row(long revision, String id) {
        return new StoredRevision(revision, id, "jo", 1, DOCUMENT);
    }

    private static ChangeAnswer answerIn(List<ConfigAction> actions) {
        return actions.stream()
                .filter(ConfigAction.Answer.class::isInstance)
                .map(a -> ((ConfigAction.Answer) a).answer())
                .reduce((a, b) -> b)
                .orElseThrow(() -> new AssertionError("no answer in " + actions));
    }

    private static <T extends ConfigAction> T only(Class<T> type, List<ConfigAction> actions) {
        assertEquals(1, actions.size(), actions.toString());
        return type.cast(actions.get(0));
    }

    private ChangeAnswer apply(String id, long base) {
        return answerIn(table.carryOut(state, state.propose(change(id, base), 0), 0));
    }

    /** Starts a change, applies its write or not, and loses the answer of the write. */
    private ConfigAction.WriteRow proposeAndLoseAnswer(boolean applied) {
        ConfigAction.ReadRow read =
                only(ConfigAction.ReadRow.class, state.propose(change("mine", 0), 0));
        ConfigAction.WriteRow write =
                only(
                        ConfigAction.WriteRow.class,
                        state.read("mine", table.view(read.successor()), 0));
        if (applied) {
            assertEquals(WriteOutcome.DONE, table.write(write));
        }
        assertEquals(List.of(), state.written(write.row(), WriteOutcome.UNKNOWN, 800));
        return write;
    }

    private List<ConfigAction> tick(long nowMs) {
        return table.carryOut(state, state.tick(nowMs), nowMs);
    }

    /** Which revision is in force. */
    @Nested
    class Revisions {
        @Test
        void higherRevisionIsAnnouncedOnce() {
            StoredRevision second = row(2, "c2");
            List<ConfigAction> actions = state.learned(second, RevisionSource.PEER, 0);
            assertEquals(second, only(ConfigAction.Announce.class, actions).row());
            assertEquals(List.of(), state.learned(second, RevisionSource.TABLE, 1));
            assertEquals(2, state.view().deployment().orElseThrow().revision());
        }

        /**
         * A router follows revision 3; a peer that was cut off for an hour comes back and tells
         * revision 2. Taking it over would put an older configuration in force again.
         */
        @Test
        void olderRevisionFromStalePeerIsIgnored() {
            state.learned(row(3, "c3"), RevisionSource.TABLE, 0);
            assertEquals(List.of(), state.learned(row(2, "c2"), RevisionSource.PEER, 1));
            assertEquals(3, state.view().revision());
        }

        @Test
        void documentThatCannotBeReadIsRefusedOnceAndTheOldOneStays() {
            state.learned(row(1, "c1"), RevisionSource.TABLE, 0);
            StoredRevision later = new StoredRevision(2, "c2", "jo", 1, "[later.kind]");
            only(ConfigAction.Refuse.class, state.learned(later, RevisionSource.TABLE, 1));
            assertEquals(List.of(), state.learned(later, RevisionSource.TABLE, 2));
            assertEquals(1, state.view().revision());
        }

        @Test
        void rowsKeepTheirFormAndOrder() {
            StoredRevision row = row(12, "c12");
            assertEquals(row, ConfigRows.parseCurrent(ConfigRows.text(row)));
            assertEquals(row.entry(), ConfigRows.parseHistory(ConfigRows.text(row.entry())));
            assertTrue(ConfigRows.historyKey(9).compareTo(ConfigRows.historyKey(12)) < 0);
        }
    }

    /** Changes while the table answers. */
    @Nested
    class Changes {
        @Test
        void changesFollowOneAnother() {
            assertEquals(Outcome.ACCEPTED, apply("c1", 0).outcome());
            assertEquals(Outcome.ACCEPTED, apply("c2", 1).outcome());
            assertEquals(2, state.view().revision());
        }

        @Test
        void baseThatIsNotTheLatestIsAConflict() {
            apply("c1", 0);
            ChangeAnswer late = apply("c2", 0);
            assertEquals(Outcome.CONFLICT, late.outcome());
            assertTrue(late.message().contains("change c1 by ada is revision 1"), late.message());
            assertEquals(Outcome.CONFLICT, apply("c3", 9).outcome());
        }

        @Test
        void sameChangeAgainIsTheSameAnswer() {
            apply("c1", 0);
            assertEquals(Outcome.ACCEPTED, apply("c1", 0).outcome());
            assertEquals(1, state.view().revision());
        }

        /**
         * Two operators apply at the same moment on two routers. Both routers read revision 0, then
         * both write. One write takes effect; the other operator is told whose change came first.
         */
        @Test
        void ofTwoOperatorsAtOnceOneGetsAConflictThatNamesTheOther() {
            ConfigState other = ConfigState.create(SOUTH, TIMINGS);
            other.domainsKnown(Set.of(SOUTH));
            state.propose(change("first", 0), 0);
            other.propose(change("second", 0), 0);
            List<ConfigAction> write = state.read("first", table.view(1), 1);
            List<ConfigAction> late = other.read("second", table.view(1), 1);
            assertEquals(Outcome.ACCEPTED, answerIn(table.carryOut(state, write, 2)).outcome());
            assertEquals(List.of(), table.carryOut(other, late, 2));
            ChangeAnswer told = answerIn(table.carryOut(other, other.tick(102), 102));
            assertEquals(Outcome.CONFLICT, told.outcome());
            assertTrue(told.message().contains("change first by ada"), told.message());
            assertEquals("first", other.view().current().orElseThrow().changeId());
        }

        @Test
        void invalidDryAndTooMany() {
            ProposedChange bad = new ProposedChange("bad", 0, "ada", 1, "[x]", false);
            assertEquals(Outcome.INVALID, answerIn(state.propose(bad, 0)).outcome());
            ProposedChange dry = new ProposedChange("dry", 0, "ada", 1, DOCUMENT, true);
            assertEquals(Outcome.CHECKED, answerIn(state.propose(dry, 0)).outcome());
            for (int i = 0; i < ConfigState.MAX_OPEN_CHANGES; i++) {
                only(ConfigAction.ReadRow.class, state.propose(change("c" + i, 0), 0));
            }
            ChangeAnswer last = answerIn(state.propose(change("last", 0), 0));
            assertEquals(Outcome.NOT_WRITTEN, last.outcome());
        }
    }

    /** Changes while answers are lost or the table is out of reach. */
    @Nested
    class LostAnswers {
        /**
         * The table applies the change but its answer is lost. The router reads the row back, finds
         * its own change id there and says accepted; it does not write a second revision.
         */
        @Test
        void writeThatHappenedIsFoundByItsChangeId() {
            proposeAndLoseAnswer(true);
            assertEquals(Outcome.ACCEPTED, answerIn(tick(900)).outcome());
            assertEquals(1, state.view().revision());
        }

        /**
         * The write is lost on its way, and so no answer comes. Reading back shows the base
         * revision still in force, so the router writes again and the change is accepted.
         */
        @Test
        void writeThatDidNotHappenIsWrittenAgain() {
            proposeAndLoseAnswer(false);
            assertEquals(Outcome.ACCEPTED, answerIn(tick(900)).outcome());
        }

        /**
         * As above, but the first write was only late: it takes effect between the reading back and
         * the second write. The second one conflicts with the first, which is the same change, and
         * the operator must not be told of a conflict with himself.
         */
        @Test
        void lateWriteIsNotAConflictWithItself() {
            ConfigAction.WriteRow first = proposeAndLoseAnswer(false);
            only(ConfigAction.ReadRow.class, state.tick(900));
            List<ConfigAction> second = state.read("mine", table.view(1), 901);
            table.write(first);
            assertEquals(List.of(), table.carryOut(state, second, 902));
            assertEquals(Outcome.ACCEPTED, answerIn(tick(1002)).outcome());
        }

        /**
         * The answer of the write is lost, another operator's change follows on ours, and then the
         * table is read. The latest row shows only the other change id; the history tells ours.
         */
        @Test
        void writeThatWasFollowedByAnotherIsFoundInTheHistory() {
            proposeAndLoseAnswer(true);
            ConfigState other = ConfigState.create(SOUTH, TIMINGS);
            table.carryOut(other, other.propose(change("next", 1), 850), 850);
            assertEquals(Outcome.ACCEPTED, answerIn(tick(900)).outcome());
            assertEquals(2, state.view().revision());
        }

        @Test
        void tableThatStaysOutOfReachEndsInUnknownInBoundedTime() {
            proposeAndLoseAnswer(true);
            for (long now = 900; now < 3000; now += 100) {
                only(ConfigAction.ReadRow.class, state.tick(now));
                state.unreadable("mine", now);
            }
            assertEquals(Outcome.UNKNOWN, answerIn(state.tick(3000)).outcome());
            assertEquals(List.of(), state.tick(9000));
        }

        @Test
        void changeThatWasNeverSentIsNotWritten() {
            state.propose(change("mine", 0), 0);
            state.unreadable("mine", 10);
            assertEquals(Outcome.NOT_WRITTEN, answerIn(state.tick(3000)).outcome());
        }

        @Test
        void peerThatTellsTheRevisionSettlesIt() {
            proposeAndLoseAnswer(false);
            List<ConfigAction> told = state.learned(row(1, "theirs"), RevisionSource.PEER, 850);
            assertEquals(Outcome.CONFLICT, answerIn(told).outcome());
        }
    }

    /** Which domains hold a change. */
    @Nested
    class Domains {
        private List<ConfigAction> write() {
            state.domainsKnown(Set.of(NORTH, SOUTH));
            return table.carryOut(state, state.propose(change("mine", 0), 0), 0);
        }

        @Test
        void acceptedOnceEveryDomainHasAHolder() {
            only(ConfigAction.Announce.class, write());
            assertEquals(List.of(), state.domainHolds(SOUTH, 0));
            ChangeAnswer told = answerIn(state.domainHolds(SOUTH, 1));
            assertEquals(Outcome.ACCEPTED, told.outcome());
            assertEquals(
                    List.of(new DomainHolding(NORTH, true), new DomainHolding(SOUTH, true)),
                    told.domains());
        }

        /**
         * Domain south is cut off, and after a while even the instance list drops it. The change is
         * not in force there, so the operator is told pending and which domain lacks it.
         */
        @Test
        void domainCutOffLeavesTheChangePending() {
            write();
            state.domainsKnown(Set.of(NORTH));
            assertEquals(List.of(), state.tick(4999));
            ChangeAnswer told = answerIn(state.tick(5000));
            assertEquals(Outcome.PENDING, told.outcome());
            assertEquals(new DomainHolding(SOUTH, false), told.domains().get(1));
            assertTrue(told.message().contains("not known to be held in south"));
        }

        @Test
        void routerThatNeverReadTheInstanceListDoesNotSayAccepted() {
            ConfigState fresh = ConfigState.create(NORTH, TIMINGS);
            table.carryOut(fresh, fresh.propose(change("mine", 0), 0), 0);
            assertEquals(Outcome.PENDING, answerIn(fresh.tick(5000)).outcome());
        }
    }
}
