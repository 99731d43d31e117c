package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.id.TeamId;
import org.masticweir.limits.TeamUsage;
import org.masticweir.limits.TeamUsageDigest;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Tells another router which teams use most here; one-way. */
record ShareNews(TeamUsageDigest digest) implements PeerMessage {
    private static final int FIELDS = 3;
    private static final int USE_FIELDS = 2;
    private static final int MAX_NAME_BYTES = 256;

    static final MessageCodec<ShareNews> CODEC =
            FieldsCodec.of(
                    MessageTypes.SHARE_NEWS,
                    ShareNews.class,
                    FIELDS,
                    (m, out) -> encode(m.digest, out),
                    f ->
                            new ShareNews(
                                    new TeamUsageDigest(
                                            f.list(TeamUsageDigest.MAX_TOP, ShareNews::use),
                                            f.int64(),
                                            f.int32())));

    ShareNews {
        checkNotNull(digest, "digest");
    }

    private static void encode(TeamUsageDigest d, MessagePacker out) throws IOException {
        out.packArrayHeader(d.top().size());
        for (TeamUsage use : d.top()) {
            out.packArrayHeader(USE_FIELDS).packString(use.team().value());
            out.packLong(Math.round(use.tokensPerS()));
        }
        out.packLong(Math.round(d.totalTokensPerS())).packInt(d.activeTeams());
    }

    private static TeamUsage use(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, USE_FIELDS)) {
            return new TeamUsage(TeamId.of(f.text(MAX_NAME_BYTES)), f.int64());
        }
    }
}
