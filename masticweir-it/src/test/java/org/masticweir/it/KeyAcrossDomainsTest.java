package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.caller.CallRequest;

/** One idempotency key is submitted in two failure domains, each with a holder of its own. */
@ExtendWith(TwoDomainFleetPerClass.class)
final class KeyAcrossDomainsTest {
    private static final int TOKENS = 30;

    private final TwoDomainFleet fleet;
    private final TestBed bed;
    private final Runs runs;

    KeyAcrossDomainsTest(TwoDomainFleet fleet) {
        this.fleet = fleet;
        bed = fleet.bed();
        runs = new Runs(bed);
    }

    /**
     * A report asked for twice at one moment is generated once, and both callers get it.
     *
     * <p>A client sends one key twice; the balancer gives one to a router of each domain. Each
     * router's holder is in its own domain and knows nothing of the other, so both would run it.
     * The cause is a holder that is chosen in the owner's domain.
     */
    @Nested
    final class OneKeyInBothDomainsAtOnce {
        private static final int ROUNDS = 24;

        @Test
        void reportsAreGeneratedOnce() {
            assertGeneratedOnce(Requests::report);
        }

        @Test
        void lettersAreGeneratedOnce() {
            assertGeneratedOnce(Letters::draft);
        }

        private void assertGeneratedOnce(Function<Integer, CallRequest> requests) {
            List<String> doubled = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                CallRequest request = requests.apply(TOKENS);
                List<RunningCall> both = submitInBoth(request, round);
                both.forEach(RunningCall::record);
                if (runs.begun(request).size() == 1) {
                    both.forEach(bed.check()::whole);
                } else {
                    doubled.add(request.key() + " began " + runs.begun(request));
                }
            }
            System.out.println(
                    "one key in two domains: " + doubled.size() + " of " + ROUNDS + " ran twice");
            assertEquals(0, doubled.size(), () -> "of " + ROUNDS + ": " + doubled);
        }
    }

    /**
     * A report asked for again in the other domain while it streams is read, not generated anew.
     *
     * <p>The first caller has tokens; the second submits the same key to a router of the other
     * domain. The cause is a client whose connection broke and whose balancer sent it elsewhere.
     */
    @Nested
    final class SameKeyLaterInTheOtherDomain {
        private static final int ROUNDS = 6;

        @Test
        void isReadFromTheOwner() {
            for (int round = 0; round < ROUNDS; round++) {
                CallRequest request = Requests.report(2 * TOKENS);
                RunningCall first = fleet.submit(fleet.here().get(round % 2), request);
                first.awaitTokens(TOKENS / 2);
                RunningCall second = fleet.submit(fleet.there().get(round % 2), request);
                bed.check().whole(first);
                bed.check().whole(second);
                runs.assertBegunOnce(request);
            }
        }
    }

    /**
     * Reports are served while the home of their key does not answer, and once again after it does.
     *
     * <p>Both routers of the other domain freeze; new reports come at once, before any router is
     * suspect, and wait for a home that stays silent. Then the domain comes back. The cause is a
     * partition between failure domains.
     */
    @Nested
    final class HomeSilent {
        private static final int REPORTS = 12;
        private static final long FIRST_TOKEN_BOUND_MS = 2_000;

        @Test
        void reportsAreServedAfterABoundedWait() {
            long aloneBefore = alone();
            fleet.there().forEach(FleetRouter::pause);
            List<RunningCall> calls = submitHere(REPORTS, TOKENS);
            calls.forEach(bed.check()::whole);
            fleet.there().forEach(FleetRouter::resume);
            long alone = alone() - aloneBefore;
            long longestMs = calls.stream().mapToLong(c -> firstTokenMs(c)).max().orElseThrow();
            System.out.println(
                    "home silent: " + alone + " of " + REPORTS + " alone, longest " + longestMs);
            assertTrue(alone > 0, "no report had its home in the other domain");
            assertTrue(longestMs <= FIRST_TOKEN_BOUND_MS, () -> "first token " + longestMs);
        }

        @Test
        void onceHealedAKeyIsGeneratedOnceAgain() {
            fleet.there().forEach(FleetRouter::pause);
            submitHere(2, TOKENS).forEach(bed.check()::whole);
            fleet.heal();
            CallRequest request = Requests.report(TOKENS);
            submitInBoth(request, 0).forEach(bed.check()::whole);
            runs.assertBegunOnce(request);
        }

        private long alone() {
            return fleet.metric(fleet.here().get(0), "gauges", "keys_alone").asLong();
        }

        private static long firstTokenMs(RunningCall call) {
            return call.record().tokenAtMs().get(0) - call.record().startedAtMs();
        }
    }

    /**
     * A report whose owner is lost with its copy can be asked for again, and is answered.
     *
     * <p>Both routers of a domain are killed under streaming reports; the same keys come to the
     * other domain, where a home may still name the lost owner. The cause is a failure domain that
     * loses power.
     */
    @Nested
    final class OwnerLostWithItsCopy {
        private static final int REPORTS = 6;

        @Test
        void theSameKeysAreAnsweredInTheOtherDomain() {
            List<RunningCall> lost = submitHere(REPORTS, 4 * TOKENS);
            lost.forEach(c -> c.awaitTokens(1));
            fleet.here().forEach(FleetRouter::kill);
            List<RunningCall> again =
                    lost.stream()
                            .map(c -> fleet.submit(fleet.there().get(0), c.request()))
                            .toList();
            again.forEach(c -> runs.assertWhole(c.request(), c.record()));
        }
    }

    private List<RunningCall> submitHere(int count, int tokens) {
        List<RunningCall> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            calls.add(fleet.submit(fleet.here().get(0), Requests.report(tokens)));
        }
        return calls;
    }

    private List<RunningCall> submitInBoth(CallRequest request, int round) {
        FleetRouter one = fleet.here().get(round % 2);
        FleetRouter other = fleet.there().get(round / 2 % 2);
        ImmutableList<FleetRouter> order =
                round / 4 % 2 == 0 ? ImmutableList.of(one, other) : ImmutableList.of(other, one);
        return order.stream().map(r -> fleet.submit(r, request)).toList();
    }
}
