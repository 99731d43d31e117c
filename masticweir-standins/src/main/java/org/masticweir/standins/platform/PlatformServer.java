package org.masticweir.standins.platform;

import java.net.InetSocketAddress;
import org.masticweir.standins.platform.http.AnswerServer;
import org.masticweir.time.Clock;

/** A running platform stand-in; thread-safe. */
final class PlatformServer implements AutoCloseable {
    private final AnswerServer server;

    private PlatformServer(AnswerServer server) {
        this.server = server;
    }

    /**
     * Starts a stand-in.
     *
     * @throws IllegalArgumentException if its address cannot be listened on
     */
    static PlatformServer start(PlatformSettings settings, Clock clock) {
        Faults faults = Faults.none(clock);
        PlatformService service = new PlatformService(settings, clock, faults);
        return new PlatformServer(AnswerServer.start(settings.listen(), service, faults));
    }

    InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }
}
