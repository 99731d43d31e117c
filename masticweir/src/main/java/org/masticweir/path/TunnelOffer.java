package org.masticweir.path;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;

/**
 * Offers a linked router to carry its connections to servers, or withdraws the offer; immutable.
 *
 * @param address address of the tunnel port
 * @param key secret that the tunnel port requires; known only to linked routers
 * @param domain failure domain of the offering router
 * @param isOpen whether the offering router reaches servers and takes new tunnels
 */
public record TunnelOffer(InetSocketAddress address, String key, DomainId domain, boolean isOpen)
        implements PeerMessage {
    static final int MAX_KEY_CHARS = 64;
    private static final int FIELDS = 4;
    private static final int MAX_BYTES = 256;

    public TunnelOffer {
        checkNotNull(address, "address");
        checkArgument(
                !key.isEmpty() && key.length() <= MAX_KEY_CHARS, "key of %s chars", key.length());
        checkNotNull(domain, "domain");
    }

    /** Returns the codec of offers with message type {@code type}. */
    public static MessageCodec<TunnelOffer> codec(int type) {
        return FieldsCodec.of(
                type,
                TunnelOffer.class,
                FIELDS,
                (m, out) ->
                        out.packString(IpAddress.text(m.address))
                                .packString(m.key)
                                .packString(m.domain.value())
                                .packBoolean(m.isOpen),
                f ->
                        new TunnelOffer(
                                IpAddress.parse(f.text(MAX_BYTES)),
                                f.text(MAX_BYTES),
                                DomainId.of(f.text(MAX_BYTES)),
                                f.bool()));
    }

    @Override
    public String toString() {
        return "TunnelOffer[" + address + ", " + domain + ", " + (isOpen ? "open" : "closed") + "]";
    }
}
