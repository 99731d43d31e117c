package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.limits.ShareDigest;
import org.masticweir.limits.TeamUse;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Tells another router which teams use most here; one-way. */
record ShareNews(ShareDigest digest) implements PeerMessage {
    static final MessageCodec<ShareNews> CODEC = new Codec();

    ShareNews {
        checkNotNull(digest, "digest");
    }

    /** Writes and reads {@link ShareNews}. */
    private static final class Codec implements MessageCodec<ShareNews> {
        private static final int FIELDS = 4;
        private static final int USE_FIELDS = 2;
        private static final int MAX_NAME_BYTES = 256;

        @Override
        public int type() {
            return MessageTypes.SHARE_NEWS;
        }

        @Override
        public Class<ShareNews> messageType() {
            return ShareNews.class;
        }

        @Override
        public void encode(ShareNews m, MessagePacker out) throws IOException {
            ShareDigest d = m.digest;
            out.packArrayHeader(FIELDS).packString(d.router().value());
            out.packArrayHeader(d.top().size());
            for (TeamUse use : d.top()) {
                out.packArrayHeader(USE_FIELDS).packString(use.team().value());
                out.packLong(Math.round(use.tokensPerS()));
            }
            out.packLong(Math.round(d.totalTokensPerS())).packInt(d.activeTeams());
        }

        @Override
        public ShareNews decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new ShareNews(
                        new ShareDigest(
                                RouterId.of(f.text(MAX_NAME_BYTES)),
                                f.list(ShareDigest.MAX_TOP, Codec::use),
                                f.int64(),
                                f.int32()));
            }
        }

        private static TeamUse use(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, USE_FIELDS)) {
                return new TeamUse(TeamId.of(f.text(MAX_NAME_BYTES)), f.int64());
            }
        }
    }
}
