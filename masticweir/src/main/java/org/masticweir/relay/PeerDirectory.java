package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.concurrent.ControlThread;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.relay.RelayMessages.RouterInfo;
import org.masticweir.store.FeedOutcome;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;

/**
 * Discovery of routers: each writes its address to the store, then reads the addresses of the
 * others.
 *
 * <p>Two routers that start at the same moment still find each other: the router that reads last
 * finds the other router and sends an introduction to it. Started on the control thread; the list
 * of routers can be read on any thread.
 */
final class PeerDirectory {
    private static final Logger LOG = LogManager.getLogger(PeerDirectory.class);

    private static final String TABLE = "routers";

    /** Separates the address from the domain in a row. */
    private static final char SEPARATOR = ' ';

    private static final Splitter PARTS = Splitter.on(SEPARATOR).limit(2);

    /** Timeout of a call to the store, in ms. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Delay before a failed call is retried, in ms. */
    private static final long RETRY_DELAY_MS = 500;

    private final PlatformPort.Store store;
    private final RouterInfo self;
    private final ScheduledExecutorService control;
    private final List<RouterId> knownRouters = new CopyOnWriteArrayList<>();

    PeerDirectory(PlatformPort.Store store, RouterInfo self, ScheduledExecutorService control) {
        this.store = checkNotNull(store, "store");
        this.self = checkNotNull(self, "self");
        this.control = checkNotNull(control, "control");
    }

    /** Writes this router's address, then passes the addresses of the others to {@code found}. */
    void join(Consumer<RouterInfo> found) {
        Transaction put =
                Transaction.builder()
                        .put(RowKey.of(TABLE, self.id().value()), format(self))
                        .build();
        store.transact(put, CALL_TIMEOUT_MS)
                .thenAccept(
                        outcome -> {
                            if (outcome instanceof TransactionOutcome.Committed) {
                                readOthers(found);
                            } else {
                                retryLater(() -> join(found), "write its address: " + outcome);
                            }
                        });
    }

    /** Adds a router. */
    void add(RouterId id) {
        if (!knownRouters.contains(id)) {
            knownRouters.add(id);
        }
    }

    /** Returns the other routers that have been found. */
    List<RouterId> knownRouters() {
        return knownRouters;
    }

    private void readOthers(Consumer<RouterInfo> found) {
        store.readAll(TABLE, CALL_TIMEOUT_MS)
                .thenAccept(
                        outcome -> {
                            if (outcome instanceof FeedOutcome.Rows rows) {
                                control.execute(
                                        () -> rows.changes().forEach(r -> parseRow(r, found)));
                            } else {
                                retryLater(() -> readOthers(found), "read the others' addresses");
                            }
                        });
    }

    private static String format(RouterInfo router) {
        return IpAddress.text(router.address()) + SEPARATOR + router.domain().value();
    }

    private static void parseRow(FeedOutcome.Change row, Consumer<RouterInfo> found) {
        try {
            List<String> parts = PARTS.splitToList(row.value().orElse(""));
            checkArgument(parts.size() == 2, "no address and domain");
            found.accept(
                    new RouterInfo(
                            RouterId.of(row.key().key()),
                            DomainId.of(parts.get(1)),
                            IpAddress.parse(parts.get(0))));
        } catch (IllegalArgumentException e) {
            LOG.warn("peers: row {} is not understood, {}", row.key(), e.getMessage());
        }
    }

    private void retryLater(Runnable step, String what) {
        LOG.info("peers: {} could not {}, it is tried again", self.id(), what);
        ControlThread.executeAfter(control, step, RETRY_DELAY_MS, "peers");
    }
}
