package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.permits.LimitUpdate.ServerLimit;

/**
 * Reports how many rejections a second brittle servers bear.
 *
 * @param servers the limits are rejections a second; empty if a server is no longer brittle
 */
public record BrittleUpdate(ImmutableList<ServerLimit> servers) implements PeerMessage {
    public BrittleUpdate {
        checkNotNull(servers, "servers");
    }

    /** Returns the codec of these updates with message type {@code type}. */
    public static MessageCodec<BrittleUpdate> codec(int type) {
        return FieldsCodec.of(
                type,
                BrittleUpdate.class,
                1,
                (m, out) -> LimitUpdate.encode(new LimitUpdate(m.servers), out),
                f -> new BrittleUpdate(ImmutableList.copyOf(LimitUpdate.decode(f).limits())));
    }
}
