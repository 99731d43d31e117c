package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerLife;

/** One send's entry on the {@link LoadBoard}, from the send to its end. */
public final class LoadTicket implements AutoCloseable {
    private final LoadBoard loads;
    private final ServerLife server;
    private final RequestSize size;
    private final Optional<ServerLife> holder;
    private final long copied;
    private boolean read;
    private boolean closed;

    private LoadTicket(
            LoadBoard loads, ServerLife server, RequestSize size, Optional<ServerLife> holder) {
        this.loads = checkNotNull(loads, "loads");
        this.server = checkNotNull(server, "server");
        this.size = checkNotNull(size, "size");
        this.holder = checkNotNull(holder, "holder");
        copied = size.total();
    }

    /** Enters {@code send} of a request of {@code size}. */
    public static LoadTicket open(LoadBoard loads, Step.Send send, RequestSize size) {
        RequestSize toRead = send.fromCopy() ? new RequestSize(0, size.total()) : size;
        LoadTicket ticket =
                new LoadTicket(
                        loads,
                        send.server().life(),
                        toRead,
                        send.holder().map(BackendServer::life));
        loads.sent(ticket.server, toRead);
        ticket.holder.ifPresent(h -> loads.holding(h, ticket.copied));
        return ticket;
    }

    /** The server has read the prompt. */
    public void read() {
        if (!read && !closed) {
            read = true;
            loads.read(server, size);
        }
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        read();
        closed = true;
        loads.ended(server, size);
        holder.ifPresent(h -> loads.holding(h, -copied));
    }
}
