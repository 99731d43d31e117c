package org.masticweir.review;

import com.google.common.base.Splitter;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router as a process of its own, started with the command of the deploy file. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long START_MS = 20_000;
    private static final long POLL_MS = 50;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Process process;
    private final Path log;
    private final InetSocketAddress callers;
    private final InetSocketAddress balancer;

    private Router(
            Process process, Path log, InetSocketAddress callers, InetSocketAddress balancer) {
        this.process = process;
        this.log = log;
        this.callers = callers;
        this.balancer = balancer;
    }

    /** Starts a router and waits until the balancer would use it. */
    static Router start(Path folder, String id, Store store) throws Exception {
        List<InetSocketAddress> free = freeAddresses(5);
        String settings =
                String.join(
                        "\n",
                        "[router]",
                        "id = " + id,
                        "domain = " + Site.ZONE,
                        "[callers]",
                        "address = " + text(free.get(0)),
                        "[balancer]",
                        "address = " + text(free.get(1)),
                        "[peers]",
                        "address = " + text(free.get(2)),
                        "tunnel_address = " + text(free.get(3)),
                        "[metrics]",
                        "address = " + text(free.get(4)),
                        "[store]",
                        "address = " + text(store.address()),
                        "change_bound_ms = 2000",
                        "[retries]",
                        "share = 0.8",
                        "allowance = 150",
                        "[shutdown]",
                        "grace_s = 8",
                        "[log]",
                        "level = info",
                        "");
        Path file = Files.writeString(folder.resolve(id + ".ini"), settings);
        Path log = folder.resolve(id + ".log");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("MASTICWEIR_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Router router = new Router(builder.start(), log, free.get(0), free.get(1));
        router.awaitReady();
        return router;
    }

    /** Returns the command of the deploy file in the working directory. */
    private static List<String> command() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy", "system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return Splitter.on(' ').splitToList(run.group(1));
    }

    /** Returns loopback addresses that nobody listens at. */
    private static List<InetSocketAddress> freeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
                addresses.add((InetSocketAddress) sockets.get(i).getLocalSocketAddress());
            }
            return addresses;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void awaitReady() throws Exception {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (!isReady()) {
            if (System.nanoTime() > untilNs || !process.isAlive()) {
                close();
                throw new IOException("the router is not ready, " + log);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns whether the router says that it is ready, as the balancer asks. */
    boolean isReady() throws InterruptedException {
        URI uri = URI.create("http://" + text(balancer) + "/masticweir/readyz");
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the address that callers connect to. */
    InetSocketAddress callers() {
        return callers;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
