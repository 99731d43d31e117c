package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import java.util.OptionalDouble;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.EngineId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reports changed and lifted limits of servers to another router; immutable. */
public record LimitUpdate(List<ServerLimit> limits) implements PeerMessage {
    private static final int LIMIT_FIELDS = 5;
    private static final int MAX_LIMITS = 16_384;
    private static final int MAX_ID_BYTES = 256;

    public LimitUpdate {
        limits = ImmutableList.copyOf(limits);
    }

    /**
     * The latest limit of one server.
     *
     * @param perSecond requests a second; empty if the server has lifted its limit
     * @param ageMs time since the server's answer arrived
     */
    record ServerLimit(ServerIncarnation server, OptionalDouble perSecond, long ageMs) {
        ServerLimit {
            checkNotNull(server, "server");
            checkNotNull(perSecond, "perSecond");
            checkArgument(ageMs >= 0, "age of %s ms", ageMs);
            perSecond.ifPresent(LimitUpdate::checkRate);
        }
    }

    private static void checkRate(double perSecond) {
        checkArgument(perSecond >= 0 && Double.isFinite(perSecond), "%s a second", perSecond);
    }

    /** Returns the codec of limit updates with message type {@code type}. */
    public static MessageCodec<LimitUpdate> codec(int type) {
        return FieldsCodec.of(type, LimitUpdate.class, 1, LimitUpdate::encode, LimitUpdate::decode);
    }

    static LimitUpdate decode(Fields f) throws IOException {
        return new LimitUpdate(f.list(MAX_LIMITS, LimitUpdate::decodeLimit));
    }

    static void encode(LimitUpdate update, MessagePacker out) throws IOException {
        out.packArrayHeader(update.limits.size());
        for (ServerLimit limit : update.limits) {
            out.packArrayHeader(LIMIT_FIELDS);
            out.packString(limit.server().id().value()).packLong(limit.server().startedMs());
            out.packBoolean(limit.perSecond().isPresent());
            out.packDouble(limit.perSecond().orElse(0)).packLong(limit.ageMs());
        }
    }

    private static ServerLimit decodeLimit(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, LIMIT_FIELDS)) {
            ServerIncarnation server =
                    ServerIncarnation.of(EngineId.of(f.text(MAX_ID_BYTES)), f.int64());
            boolean isLimited = f.bool();
            double perSecond = f.float64();
            return new ServerLimit(
                    server,
                    isLimited ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
                    f.int64());
        }
    }
}
