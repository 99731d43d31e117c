package org.masticweir.claims;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.store.MemoryTable;
import org.masticweir.store.ReadOutcome;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.TableService;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.ManualScheduler;

/** The claim services of one domain's routers, connected by links and a table, in virtual time. */
final class ClaimDomain {
    static final long TABLE_ONE_WAY_MS = 2;
    private static final long HOP_MS = 1;
    private static final long CALLER_TIMEOUT_MS = 3_000;
    private static final TeamId TEAM = TeamId.of("t");

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryTable table = new MemoryTable();
    private final Map<RouterId, Router> routers = new LinkedHashMap<>();
    private final Set<RouterId> serving = new HashSet<>();
    private final List<Long> waits = new ArrayList<>();
    private final List<ClaimDecision> decisions = new ArrayList<>();
    private long transactions;
    private long tableOneWayMs = TABLE_ONE_WAY_MS;
    private boolean isTableUnavailable;

    /** The fault of a router as observed by the other routers. */
    enum Fault {
        NONE,
        /** Its connections are closed. */
        KILLED,
        /** Its connections are open but transfer nothing. */
        PAUSED,
        /** Its calls to the table are refused. */
        TABLE_REFUSED,
        /** Its calls to the table get no response. */
        TABLE_SILENT
    }

    /**
     * Creates routers r1 to {@code n}, which share writes if there are more than {@code
     * shareAbove}.
     */
    ClaimDomain(int n, int shareAbove) {
        for (int i = 1; i <= n; i++) {
            RouterId id = RouterId.of("r" + i);
            serving.add(id);
            routers.put(id, new Router(id, SharedWriteLimits.of(shareAbove, 150, 2_000, 500)));
        }
    }

    /** One router and its links. */
    final class Router implements WriterLinks, TableService {
        private final RouterId id;
        private final ClaimService claims;
        private final List<Runnable> held = new ArrayList<>();
        private Fault fault = Fault.NONE;
        private int receivedWrites;

        private Router(RouterId id, SharedWriteLimits limits) {
            this.id = id;
            claims =
                    ClaimService.create(
                            id,
                            this,
                            scheduler,
                            scheduler.clock(),
                            ClaimServiceSettings.defaults());
            claims.shareWrites(this, () -> serving, limits);
        }

        RouterId id() {
            return id;
        }

        boolean isHealthy() {
            return fault == Fault.NONE;
        }

        void setFault(Fault now) {
            fault = now;
            if (now == Fault.NONE) {
                held.forEach(r -> scheduler.at(now(), r));
                held.clear();
            }
        }

        @Override
        public CompletableFuture<ClaimWriteResponse> sendWrite(
                RouterId to, ClaimWriteRequest m, long timeoutMs) {
            CompletableFuture<ClaimWriteResponse> response = new CompletableFuture<>();
            Router writer = routers.get(to);
            if (writer.fault == Fault.KILLED) {
                response.completeExceptionally(
                        MasticweirException.notRun(ErrorCode.NOT_FOUND, "link in backoff"));
                return response;
            }
            scheduler.at(now() + HOP_MS, () -> writer.onWriteRequest(id, m, response));
            scheduler.at(now() + timeoutMs, () -> response.completeExceptionally(unknownOutcome()));
            return response;
        }

        private void onWriteRequest(
                RouterId from,
                ClaimWriteRequest m,
                CompletableFuture<ClaimWriteResponse> response) {
            if (fault == Fault.PAUSED) {
                held.add(() -> onWriteRequest(from, m, response));
            } else if (fault == Fault.KILLED) {
                response.completeExceptionally(unknownOutcome());
            } else {
                receivedWrites++;
                claims.acceptPeerWrite(from, m, new LinkReply(response));
            }
        }

        @Override
        public void sendAccepted(RouterId claimant, ClaimWriteAccepted m) {
            scheduler.at(now() + HOP_MS, () -> routers.get(claimant).claims.onAccepted(m));
        }

        @Override
        public CompletableFuture<TransactionOutcome> transact(Transaction t, long timeoutMs) {
            CompletableFuture<TransactionOutcome> response = new CompletableFuture<>();
            transactions++;
            if (isTableUnavailable || fault == Fault.TABLE_REFUSED) {
                response.complete(TransactionOutcome.NotDone.because("refused"));
                return response;
            }
            if (fault != Fault.TABLE_SILENT) {
                scheduler.at(now() + tableOneWayMs, () -> applyAtTable(t, response));
            }
            scheduler.at(
                    now() + timeoutMs,
                    () -> response.complete(new TransactionOutcome.Unknown("no answer")));
            return response;
        }

        private void applyAtTable(Transaction t, CompletableFuture<TransactionOutcome> response) {
            TransactionOutcome outcome = table.apply(t);
            scheduler.at(now() + tableOneWayMs, () -> deliverOutcome(response, outcome));
        }

        private void deliverOutcome(
                CompletableFuture<TransactionOutcome> response, TransactionOutcome o) {
            if (fault == Fault.PAUSED) {
                held.add(() -> response.complete(o));
            } else if (fault != Fault.KILLED) {
                response.complete(o);
            }
        }

        @Override
        public CompletableFuture<ReadOutcome<Row>> read(RowKey key, long timeoutMs) {
            return table.read(key, timeoutMs);
        }

        @Override
        public CompletableFuture<ReadOutcome<List<Row>>> list(
                String name, String after, int limit, long timeoutMs) {
            return table.list(name, after, limit, timeoutMs);
        }
    }

    /** Sends one response back over the link. */
    private final class LinkReply implements Reply {
        private final CompletableFuture<ClaimWriteResponse> response;

        private LinkReply(CompletableFuture<ClaimWriteResponse> response) {
            this.response = response;
        }

        @Override
        public boolean send(PeerMessage m) {
            scheduler.at(now() + HOP_MS, () -> response.complete((ClaimWriteResponse) m));
            return true;
        }

        @Override
        public boolean fail(MasticweirException error) {
            scheduler.at(now() + HOP_MS, () -> response.completeExceptionally(error));
            return true;
        }
    }

    private static MasticweirException unknownOutcome() {
        return MasticweirException.of(ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "no answer");
    }

    long now() {
        return scheduler.clock().nowMs();
    }

    void runTo(long ms) {
        scheduler.runTo(ms);
    }

    void setTableOut(boolean out) {
        isTableUnavailable = out;
    }

    void setTableDelay(long oneWayMs) {
        tableOneWayMs = oneWayMs;
    }

    Router router(int i) {
        return routers.get(RouterId.of("r" + i));
    }

    List<Router> allRouters() {
        return List.copyOf(routers.values());
    }

    /** Returns the errors of refused callers. */
    List<MasticweirException> refusals() {
        return decisions.stream()
                .filter(ClaimDecision.Refused.class::isInstance)
                .map(d -> ((ClaimDecision.Refused) d).error())
                .toList();
    }

    /** Returns the router that received the most delegated writes. */
    Router writer() {
        return routers.values().stream()
                .max((a, b) -> Integer.compare(a.receivedWrites, b.receivedWrites))
                .orElseThrow();
    }

    /**
     * Claims {@code key} at {@code router}. If the claim is granted, runs the request for {@code
     * runMs} and reports its end.
     */
    void claim(Router router, String key, long runMs) {
        long startMs = now();
        router.claims
                .claim(TEAM, RequestId.of(key), startMs + CALLER_TIMEOUT_MS)
                .thenAccept(d -> onDecision(router, d, startMs, runMs));
    }

    private void onDecision(Router router, ClaimDecision d, long startMs, long runMs) {
        waits.add(now() - startMs);
        decisions.add(d);
        if (d instanceof ClaimDecision.Granted may) {
            scheduler.at(
                    now() + runMs,
                    () -> router.claims.reportEnded(may.permit(), Verdict.COMPLETED, "answer"));
        }
    }

    List<ClaimDecision> decisions() {
        return decisions;
    }

    /** Resets all counts. */
    void resetCounts() {
        waits.clear();
        decisions.clear();
        transactions = 0;
    }

    long transactions() {
        return transactions;
    }

    long waitMs(double quantile) {
        List<Long> sorted = waits.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size()));
    }

    long count(Class<? extends ClaimDecision> kind) {
        return decisions.stream().filter(kind::isInstance).count();
    }

    /** Returns the number of claim rows with this status. */
    long rows(ClaimStatus status) {
        ReadOutcome<List<Row>> page = table.list(ClaimRow.TABLE, "", Integer.MAX_VALUE, 1).join();
        return ((ReadOutcome.Done<List<Row>>) page)
                .value().stream()
                        .filter(r -> ClaimRow.decode(r.value()).status() == status)
                        .count();
    }
}
