package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.LoadEntry;
import org.masticweir.forward.RequestSize;
import org.masticweir.forward.Step;

/** Load of one send, as other routers learn of it; runs on the traffic thread. */
final class SendLoad {
    private final RelayContext context;
    private final LoadEntry entry;

    private SendLoad(RelayContext context, LoadEntry entry) {
        this.context = checkNotNull(context, "context");
        this.entry = checkNotNull(entry, "entry");
    }

    static SendLoad open(RelayContext context, Step.Send send, RequestSize size) {
        SendLoad load = new SendLoad(context, LoadEntry.open(context.loads(), send, size));
        context.onLoadsChanged().run();
        return load;
    }

    /** Records the load that {@code server} reports in an answer, if it does. */
    static void recordReport(RelayContext context, BackendServer server, AnswerMetadata metadata) {
        metadata.requestCount()
                .ifPresent(
                        count ->
                                context.loads()
                                        .recordServerReport(
                                                server.incarnation(),
                                                count,
                                                context.clock().nowMs()));
    }

    /** Records the end of the prefill, once. */
    void endPrefill() {
        entry.endPrefill();
        context.onLoadsChanged().run();
    }

    /**
     * Records the end of the send, and reports it to the issuer of room at the server.
     *
     * @param isRejected whether the server rejected the request
     */
    void close(boolean isRejected) {
        entry.close();
        context.rooms().recordEnd(entry.server(), isRejected);
        context.onLoadsChanged().run();
    }
}
