package org.masticweir.router;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.masticweir.claims.ClaimMessageCodecs;
import org.masticweir.instances.InstanceNews;
import org.masticweir.membership.Heartbeat;
import org.masticweir.membership.RouterAddress;
import org.masticweir.peer.Hello;
import org.masticweir.peer.LinkSettings;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.MessageRegistry;
import org.masticweir.peer.PeerLinks;
import org.masticweir.recovery.copy.CopyMessageCodecs;
import org.masticweir.reports.CandidatesAsk;
import org.masticweir.reports.EngineShare;
import org.masticweir.settings.DaemonSettings;
import org.masticweir.time.Clock;

/** Opens the links to other routers with all messages that routers send; stateless. */
final class PeerPort {
    private PeerPort() {}

    /**
     * Returns links that are not started yet.
     *
     * @param keys of the links; empty for none
     * @throws org.masticweir.error.MasticweirException if the port cannot be opened
     */
    static PeerLinks open(
            DaemonSettings settings, RouterAddress self, Clock clock, Optional<SSLContext> keys) {
        InetSocketAddress listen = settings.router().peerAddress();
        LinkSettings links =
                LinkSettings.of(listen, self.incarnation())
                        .withHandshakeMs(keys.isPresent() ? settings.peers().handshakeMs() : 0)
                        .withSilenceMs(settings.peers().linkSilenceMs());
        Hello hello = Hello.of(self.router(), self.incarnation(), self.domain());
        try {
            return PeerLinks.open(links, hello, MessageRegistry.of(codecs()), clock, keys);
        } catch (RuntimeException e) {
            throw PortFault.taken("peer_address", listen, e);
        }
    }

    private static List<MessageCodec<?>> codecs() {
        return ImmutableList.<MessageCodec<?>>builder()
                .add(Heartbeat.codec(), ConfigAsk.CODEC, ConfigOffer.CODEC, ShareNews.CODEC)
                .add(EngineShare.CODEC, CandidatesAsk.CODEC, InstanceNews.CODEC)
                .addAll(CopyMessageCodecs.all())
                .addAll(ClaimMessageCodecs.all())
                .build();
    }
}
