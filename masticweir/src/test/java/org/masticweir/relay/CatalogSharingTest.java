package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticweir.config.DocumentEdit;
import org.masticweir.id.RouterId;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;
import org.masticweir.time.ManualScheduler;

/** Requests of a router for a newer catalog, and its handling of the replies. */
class CatalogSharingTest {
    private static final RouterId FIRST = RouterId.of("first");
    private static final RouterId SECOND = RouterId.of("second");

    private final ManualScheduler scheduler = new ManualScheduler();
    private final FakePeers peers = new FakePeers();
    private final DeploymentState deployment =
            new DeploymentState(
                    new DeploymentStateTest.TestFormat(),
                    scheduler.clock(),
                    new UnreadableRows(new Counter()),
                    2_000,
                    view -> {});
    private final CatalogSharing sharing =
            new CatalogSharing(
                    peers, deployment, scheduler, scheduler.clock(), new MetricRegistry());

    /** Returns a text in which only the line with the number of the version differs. */
    private static String text(long version) {
        StringBuilder text = new StringBuilder().append(version).append('\n');
        for (int line = 0; line < 50; line++) {
            text.append(line == version ? "{\"a changed route\"}\n" : "{\"a route\"}\n");
        }
        return text.toString();
    }

    private static CatalogReply edit(long from, long to) {
        return CatalogReply.edit(PackedEdit.of(DocumentEdit.between(text(from), text(to))));
    }

    private void putInForce(long version) {
        deployment.applyCatalogText(text(version), "store");
        sharing.recordCatalog();
    }

    private void reply(int request, CatalogReply catalog) {
        peers.replies.get(request).complete(catalog);
        scheduler.runTo(scheduler.clock().nowMs() + 1);
    }

    private void runPastHedgeDelay() {
        scheduler.runTo(scheduler.clock().nowMs() + HedgedPeerRequest.HEDGE_DELAY_MS);
    }

    private long heldVersionInRequest(int request) {
        return ((CatalogRequest) peers.requests.get(request)).newerThan();
    }

    /**
     * An edit whose base was replaced by a newer version before the reply arrived was rejected as
     * not applicable.
     */
    @Test
    void lateEditAppliesToTheTextAtTheRequest() {
        putInForce(1);
        sharing.handleVersion(FIRST, 2);
        putInForce(2);
        reply(0, edit(1, 3));
        assertEquals(3, deployment.catalogVersion());
        sharing.handleVersion(SECOND, 4);
        assertEquals(3, heldVersionInRequest(1));
    }

    @Test
    void inapplicableEditLeadsToARequestForTheFullText() {
        putInForce(1);
        sharing.handleVersion(FIRST, 3);
        reply(0, edit(2, 3));
        assertEquals(1, deployment.catalogVersion());
        sharing.handleVersion(FIRST, 3);
        assertEquals(0, heldVersionInRequest(1));
        reply(1, CatalogReply.edit(PackedEdit.of(DocumentEdit.between("", text(3)))));
        assertEquals(3, deployment.catalogVersion());
    }

    /**
     * Each status message of a peer triggered another request for the full text of a version that
     * could not be parsed.
     */
    @Test
    void unparsableVersionIsRequestedOnce() {
        putInForce(1);
        sharing.handleVersion(FIRST, 2);
        reply(0, CatalogReply.fullText("not a catalog"));
        sharing.handleVersion(FIRST, 2);
        runPastHedgeDelay();
        sharing.handleVersion(SECOND, 2);
        assertEquals(1, peers.recipients.size());
        sharing.handleVersion(SECOND, 3);
        assertEquals(2, peers.recipients.size());
    }

    /**
     * A reply that the store's answer had overtaken counted as the text of the version awaited, and
     * that version was requested from nobody any more.
     */
    @Test
    void overtakenReplyDoesNotEndTheRequestsForTheVersionAwaited() {
        putInForce(1);
        sharing.handleVersion(FIRST, 2);
        sharing.handleVersion(FIRST, 5);
        reply(0, edit(1, 3));
        putInForce(4);
        reply(1, edit(3, 4));
        sharing.handleVersion(SECOND, 5);
        assertEquals(List.of(FIRST, FIRST, SECOND), peers.recipients);
    }

    @Test
    void requestsAgainWhileANewerVersionIsAwaited() {
        putInForce(1);
        sharing.handleVersion(FIRST, 2);
        sharing.handleVersion(FIRST, 5);
        reply(0, edit(1, 2));
        assertEquals(2, heldVersionInRequest(1));
    }
}
