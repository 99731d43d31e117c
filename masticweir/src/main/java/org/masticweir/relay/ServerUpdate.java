package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.peer.Fields;
import org.masticweir.store.Revision;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of one backend server as of a revision of the store; immutable.
 *
 * @param server empty if its entry was removed
 * @param removalDelayMs time until the removal takes effect, in ms; empty if there is no removal,
 *     or if the sender does not report the delay of each
 */
record ServerUpdate(
        EngineId id,
        Revision revision,
        Optional<BackendServer> server,
        OptionalLong removalDelayMs) {
    private static final int FIELDS = 11;
    private static final long NO_DELAY = -1;

    /** Fields that routers without eras of the store send as well. */
    private static final int REQUIRED_FIELDS = 9;

    private static final int MAX_TEXT_BYTES = 256;

    ServerUpdate {
        checkNotNull(id, "id");
        checkNotNull(revision, "revision");
        checkNotNull(server, "server");
    }

    static ServerUpdate present(BackendServer server, Revision revision) {
        return new ServerUpdate(server.id(), revision, Optional.of(server), OptionalLong.empty());
    }

    static ServerUpdate removed(EngineId id, Revision revision, OptionalLong delayMs) {
        return new ServerUpdate(id, revision, Optional.empty(), delayMs);
    }

    /** Returns a description for the log. */
    String describe() {
        if (server.isEmpty()) {
            return "is gone";
        }
        BackendServer listed = server.get();
        String since =
                listed.incarnation().isStartKnown()
                        ? ", started " + listed.incarnation().startedMs()
                        : "";
        return (listed.leaving() ? "is leaving " : "serves ") + listed.service() + since;
    }

    void encode(MessagePacker out) throws IOException {
        out.packArrayHeader(FIELDS).packString(id.value());
        out.packLong(revision.number());
        out.packBoolean(server.isPresent());
        out.packString(server.map(s -> s.service().value()).orElse(""));
        out.packString(server.map(s -> IpAddress.text(s.address())).orElse(""));
        out.packString(server.map(s -> s.domain().value()).orElse(""));
        out.packInt(server.map(BackendServer::slots).orElse(0));
        out.packBoolean(server.map(BackendServer::leaving).orElse(false));
        out.packLong(
                server.map(s -> s.incarnation().startedMs())
                        .orElse(ServerIncarnation.UNKNOWN_START));
        out.packLong(revision.era()).packLong(removalDelayMs.orElse(NO_DELAY));
    }

    static ServerUpdate decode(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, REQUIRED_FIELDS)) {
            EngineId id = EngineId.of(f.text(MAX_TEXT_BYTES));
            long revisionNumber = f.int64();
            boolean present = f.bool();
            String service = f.text(BackendServer.MAX_SERVICE_BYTES);
            String address = f.text(MAX_TEXT_BYTES);
            String domain = f.text(MAX_TEXT_BYTES);
            int slots = f.int32();
            boolean leaving = f.bool();
            long startedMs = f.int64();
            Revision revision = new Revision(f.hasMore() ? f.int64() : 0, revisionNumber);
            long delayMs = f.hasMore() ? f.int64() : NO_DELAY;
            if (!present) {
                return removed(
                        id,
                        revision,
                        delayMs >= 0 ? OptionalLong.of(delayMs) : OptionalLong.empty());
            }
            return present(
                    new BackendServer(
                            ServerIncarnation.of(id, startedMs),
                            ServiceName.of(service),
                            IpAddress.parse(address),
                            DomainId.of(domain),
                            slots,
                            leaving),
                    revision);
        }
    }
}
