package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;

/** Load of one send in the {@link LoadTracker}, from the start of the send to its end. */
public final class LoadEntry implements AutoCloseable {
    private final LoadTracker loads;
    private final ServerIncarnation server;
    private final RequestSize size;
    private final Optional<ServerIncarnation> copyHolder;
    private final long copyTokens;
    private boolean isPrefillEnded;
    private boolean isClosed;

    private LoadEntry(
            LoadTracker loads,
            ServerIncarnation server,
            RequestSize size,
            Optional<ServerIncarnation> copyHolder) {
        this.loads = checkNotNull(loads, "loads");
        this.server = checkNotNull(server, "server");
        this.size = checkNotNull(size, "size");
        this.copyHolder = checkNotNull(copyHolder, "copyHolder");
        copyTokens = size.total();
    }

    /** Records {@code send} of a request of {@code size}. */
    public static LoadEntry open(LoadTracker loads, Step.Send send, RequestSize size) {
        RequestSize remainingSize = send.fromCopy() ? new RequestSize(0, size.total()) : size;
        LoadEntry entry =
                new LoadEntry(
                        loads,
                        send.server().incarnation(),
                        remainingSize,
                        send.copyHolder().map(BackendServer::incarnation));
        loads.recordSend(entry.server, remainingSize);
        entry.copyHolder.ifPresent(h -> loads.addCopyTokens(h, entry.copyTokens));
        return entry;
    }

    public ServerIncarnation server() {
        return server;
    }

    /** Records the end of the prefill, once. */
    public void endPrefill() {
        if (!isPrefillEnded && !isClosed) {
            isPrefillEnded = true;
            loads.recordPrefillEnd(server, size);
        }
    }

    @Override
    public void close() {
        if (isClosed) {
            return;
        }
        endPrefill();
        isClosed = true;
        loads.recordEnd(server, size);
        copyHolder.ifPresent(h -> loads.addCopyTokens(h, -copyTokens));
    }
}
