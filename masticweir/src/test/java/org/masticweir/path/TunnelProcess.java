package org.masticweir.path;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.undertow.server.DefaultByteBufferPool;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Random;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.catalog.ServiceName;
import org.masticweir.http.Dialer;
import org.masticweir.http.IpAddress;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A process of its own that carries tunnels to one server. */
final class TunnelProcess implements AutoCloseable {
    private static final DomainId DOMAIN = DomainId.of("d1");

    private final Process process;
    private final InetSocketAddress address;

    private TunnelProcess(Process process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    static TunnelProcess start(InetSocketAddress server, String key) throws IOException {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                TunnelProcess.class.getName(),
                                IpAddress.text(server),
                                key)
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        try (BufferedReader out = process.inputReader(US_ASCII)) {
            return new TunnelProcess(process, IpAddress.parse(out.readLine()));
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Ends the process without a warning. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /**
     * Carries tunnels to the server at {@code args[0]} for requests with the key {@code args[1]}.
     */
    public static void main(String[] args) throws Exception {
        InetSocketAddress port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        ImmutableList<BackendServer> listed =
                ImmutableList.of(
                        new BackendServer(
                                ServerIncarnation.of(EngineId.of("e1"), 0),
                                ServiceName.of("model"),
                                IpAddress.parse(args[0]),
                                DOMAIN,
                                1,
                                false));
        ServerDialer dialer =
                new ServerDialer(
                        Dialer.tcp(),
                        worker.getIoThread(),
                        new DefaultByteBufferPool(true, 1_024),
                        Clock.system(),
                        ServerPaths.create(),
                        DOMAIN,
                        new Random(1),
                        () -> listed,
                        lost -> {});
        new TunnelServer(
                worker,
                worker.getIoThread(),
                port,
                args[1],
                () -> listed,
                () -> true,
                DOMAIN,
                dialer,
                new Random(1),
                new MetricRegistry());
        System.out.println(IpAddress.text(port));
        System.out.flush();
    }
}
