package org.masticweir.it;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.masticweir.bench.BenchWorker;
import org.masticweir.config.ConfigRows;
import org.masticweir.config.StoredRevision;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.IpAddress;
import org.masticweir.store.HttpPlatform;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.xnio.XnioWorker;

/** The routers of a domain share the reads of the table, so that none of them has to be there. */
@ExtendWith(SharedDomainBed.class)
final class DomainReadsTest {
    private static final int MORE = 4;
    private static final long KNOWN_BOUND_MS = 20_000;
    private static final long TABLE_TIMEOUT_MS = 2_000;

    /** A few seconds, and the list's own lag. */
    private static final long LIST_BOUND_MS = 5_000;

    /** The letter's bound on a change being in force everywhere. */
    private static final long IN_FORCE_BOUND_MS = 10_000;

    private final DomainBed bed;
    private final List<DomainRouter> domainA = new ArrayList<>();

    DomainReadsTest(DomainBed bed) {
        this.bed = bed;
    }

    /** Adds routers to domain a, named from {@code first} on; the bed's routes outlive a test. */
    private void grow(int first) {
        domainA.add(bed.routerA());
        for (int i = first; i < first + MORE; i++) {
            DomainRouter router = bed.addRouter("r" + i, "a");
            router.start();
            domainA.add(router);
        }
        domainA.forEach(bed::awaitServing);
        Await.until("all hear each other", KNOWN_BOUND_MS, this::allHeard);
    }

    private boolean allHeard() {
        return domainA.stream()
                .allMatch(r -> domainA.stream().filter(o -> o != r).allMatch(o -> hears(r, o)));
    }

    private boolean hears(DomainRouter router, DomainRouter other) {
        return bed.operators(router).stateOf(other.id()).equals("serving");
    }

    /**
     * A change is in the table while a domain has lost most of its readers.
     *
     * <p>Of five routers one is killed, one is paused and one is cut off from the platform, as is
     * the other domain. The remaining two must find the change, and those without the platform must
     * hear of it from them. The cause is a partition on a bad day; a domain whose reads hang on
     * fixed routers would stay behind if these are the lost ones.
     */
    @Test
    void theDomainFollowsWithReadersKilledPausedAndCutOff() {
        grow(10);
        DomainRouter killed = domainA.get(1);
        DomainRouter paused = domainA.get(2);
        DomainRouter cutOff = domainA.get(3);
        InetSocketAddress platform = platform();
        long base = bed.operators(bed.routerA()).revision();
        bed.toPlatform(bed.routerB(), "cut");
        bed.toPlatform(cutOff, "cut");
        killed.process().kill();
        paused.process().pause();
        List<DomainRouter> left = new ArrayList<>(domainA);
        left.removeAll(List.of(killed, paused));
        left.add(bed.routerB());
        try (RevisionWatch watch = RevisionWatch.over(bed, left)) {
            long sinceMs = RevisionWatch.nowMs();
            write(platform, base + 1);
            for (DomainRouter router : left) {
                watch.report("few readers", router, base + 1, sinceMs, IN_FORCE_BOUND_MS);
            }
        }
        paused.process().resume();
        Await.until(
                "the woken router follows",
                IN_FORCE_BOUND_MS,
                () -> bed.operators(paused).revision() == base + 1);
    }

    /**
     * An engine is listed as leaving while a domain has lost most of its readers.
     *
     * <p>Of five routers one is killed, one is paused and one is cut off from the platform, so that
     * it can read no list. It must hear what changed from those that do, or it would go on giving
     * the engine new work until the engine is gone. The cause is a replacement on a bad day.
     */
    @Test
    void aChangeOfTheInstanceListReachesARouterThatCannotReadIt() {
        grow(20);
        DomainRouter cutOff = domainA.get(3);
        bed.toPlatform(cutOff, "cut");
        domainA.get(1).process().kill();
        domainA.get(2).process().pause();
        List<DomainRouter> left = List.of(domainA.get(0), cutOff, domainA.get(4));
        long sinceMs = RevisionWatch.nowMs();
        bed.instances().put(bed.entryOf(bed.engines().get(0)), "leaving");
        for (DomainRouter router : left) {
            Await.until(
                    router + " sees e1 leaving",
                    LIST_BOUND_MS,
                    () -> bed.operators(router).engineState("e1").equals("leaving"));
            System.out.printf(
                    "instances: few readers, %s sees it after %d ms%n",
                    router, RevisionWatch.nowMs() - sinceMs);
        }
        domainA.get(2).process().resume();
        bed.engines().get(0).process().kill();
    }

    private InetSocketAddress platform() {
        String route = DomainRouter.platformRoute(bed.routerA().id());
        return IpAddress.parse(bed.proxy().record(route).path("listen").asText());
    }

    /** Puts a revision into the table, as a router does that is lost before it tells anyone. */
    private static void write(InetSocketAddress platform, long revision) {
        XnioWorker worker = BenchWorker.start(1);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            HttpPlatform table = HttpPlatform.at(platform, calls);
            RowKey current = RowKey.of(ConfigRows.TABLE, ConfigRows.CURRENT_KEY);
            StoredRevision row =
                    new StoredRevision(
                            revision, "few-readers", "test", 0, Documents.withLookupTarget(640));
            ReadOutcome<Row> before = table.read(current, TABLE_TIMEOUT_MS).join();
            Transaction transaction =
                    Transaction.builder()
                            .check(current, ((ReadOutcome.Done<Row>) before).value().revision())
                            .put(current, ConfigRows.text(row))
                            .put(
                                    RowKey.of(ConfigRows.TABLE, ConfigRows.historyKey(revision)),
                                    ConfigRows.text(row.entry()))
                            .build();
            assertInstanceOf(
                    TransactionOutcome.Committed.class,
                    table.transact(transaction, TABLE_TIMEOUT_MS).join());
        } finally {
            worker.shutdownNow();
        }
    }
}
