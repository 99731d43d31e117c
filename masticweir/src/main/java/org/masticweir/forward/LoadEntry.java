package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;

/** One send's entry on the {@link LoadTracker}, from the send to its end. */
public final class LoadEntry implements AutoCloseable {
    private final LoadTracker loads;
    private final ServerIncarnation server;
    private final RequestSize size;
    private final Optional<ServerIncarnation> holder;
    private final long copied;
    private boolean endPrefill;
    private boolean closed;

    private LoadEntry(
            LoadTracker loads,
            ServerIncarnation server,
            RequestSize size,
            Optional<ServerIncarnation> holder) {
        this.loads = checkNotNull(loads, "loads");
        this.server = checkNotNull(server, "server");
        this.size = checkNotNull(size, "size");
        this.holder = checkNotNull(holder, "holder");
        copied = size.total();
    }

    /** Enters {@code send} of a request of {@code size}. */
    public static LoadEntry open(LoadTracker loads, Step.Send send, RequestSize size) {
        RequestSize toRead = send.fromCopy() ? new RequestSize(0, size.total()) : size;
        LoadEntry ticket =
                new LoadEntry(
                        loads,
                        send.server().incarnation(),
                        toRead,
                        send.copyHolder().map(BackendServer::incarnation));
        loads.recordSend(ticket.server, toRead);
        ticket.holder.ifPresent(h -> loads.addCopyTokens(h, ticket.copied));
        return ticket;
    }

    /** The server has read the prompt. */
    public void endPrefill() {
        if (!endPrefill && !closed) {
            endPrefill = true;
            loads.recordPrefillEnd(server, size);
        }
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        endPrefill();
        closed = true;
        loads.recordEnd(server, size);
        holder.ifPresent(h -> loads.addCopyTokens(h, -copied));
    }
}
