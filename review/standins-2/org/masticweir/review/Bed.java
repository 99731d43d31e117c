package org.masticweir.review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Processes of one case on loopback, in a temporary folder; all end with the bed. */
final class Bed implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    private static final long READY_MS = 20_000;
    private static final long POLL_MS = 50;

    /** Programs run in the repository's root, as the deploy file has it. */
    private final Path root;

    private final Path folder;
    private final Deque<Process> processes = new ConcurrentLinkedDeque<>();
    private final int storePort = freePort();
    private StoreClient store;

    private Bed(Path root, Path folder) {
        this.root = root;
        this.folder = folder;
        // For the case that this process is ended before it closes the bed.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Starts a store in a new temporary folder. */
    static Bed open() throws IOException {
        Path root = Path.of("").toAbsolutePath();
        Bed bed = new Bed(root, Files.createTempDirectory("masticweir-review"));
        try {
            bed.startStandIn("store", "StoreStandIn", "" + bed.storePort);
            awaitPort(bed.storePort);
        } catch (IOException | RuntimeException e) {
            bed.close();
            throw e;
        }
        bed.store = new StoreClient(bed.storePort);
        return bed;
    }

    /** Returns the client of the operator. */
    StoreClient store() {
        return store;
    }

    /** One process with the file that it prints to. */
    record Running(Process process, Path output) {
        /** Returns the lines printed so far. */
        List<String> lines() throws IOException {
            return Files.readAllLines(output);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Stands the process still. */
        void freeze() throws IOException {
            signal("STOP");
        }

        /** Lets a frozen process go on. */
        void thaw() throws IOException {
            signal("CONT");
        }

        /** Kills the process as a crash does, and waits for its end. */
        void kill() {
            process.destroyForcibly();
            awaitEnd(process);
        }

        private void signal(String name) throws IOException {
            Process kill =
                    new ProcessBuilder("kill", "-" + name, "" + process.pid()).inheritIO().start();
            awaitEnd(kill);
        }
    }

    /** Starts a server at any port; waits until it accepts connections. */
    Running startServer(String name, String id, String behaviour) throws IOException {
        return startServer(name, freePort(), id, behaviour);
    }

    /** Starts a server at {@code port}; waits until it accepts connections. */
    Running startServer(String name, int port, String id, String behaviour) throws IOException {
        Running server =
                startStandIn(
                        name,
                        "ServerStandIn",
                        "" + port,
                        id,
                        Deployment.SERVICE,
                        Deployment.DOMAIN,
                        behaviour,
                        "" + storePort);
        awaitPort(port);
        return server;
    }

    private Running startStandIn(String name, String type, String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.masticweir.review." + type);
        command.addAll(List.of(args));
        return start(name, new ProcessBuilder(command));
    }

    /**
     * A router of a small deployment.
     *
     * @param callers port for callers
     */
    record Router(Running running, int callers, int balancer) {}

    /** Starts a router with the command of the deploy file; waits until it says it is ready. */
    Router startRouter(String id, String domain) throws IOException {
        int callers = freePort();
        int balancer = freePort();
        Path settings = folder.resolve(id + ".ini");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[router]",
                        "id = " + id,
                        "domain = " + domain,
                        "[callers]",
                        "address = " + HOST + ":" + callers,
                        "[balancer]",
                        "address = " + HOST + ":" + balancer,
                        "[peers]",
                        "address = " + HOST + ":" + freePort(),
                        "tunnel_address = " + HOST + ":" + freePort(),
                        "[metrics]",
                        "address = " + HOST + ":" + freePort(),
                        "[store]",
                        "address = " + HOST + ":" + storePort,
                        "change_bound_ms = 2000",
                        "[retries]",
                        "share = 0.8",
                        "allowance = 150",
                        "[shutdown]",
                        "grace_s = 8",
                        "[log]",
                        "level = info",
                        ""));
        ProcessBuilder builder = new ProcessBuilder(DeployFile.read(root).command("router"));
        builder.environment().put("MASTICWEIR_SETTINGS", settings.toString());
        Router router = new Router(start(id, builder), callers, balancer);
        awaitReady(router);
        return router;
    }

    private Running start(String name, ProcessBuilder builder) throws IOException {
        Path output = folder.resolve(name + ".log");
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.redirectInput(new File("/dev/null"));
        Process process = builder.start();
        processes.push(process);
        return new Running(process, output);
    }

    private static void awaitReady(Router router) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (!isReady(router)) {
            if (System.nanoTime() > endNs) {
                throw new IOException("a router is not ready in " + READY_MS + " ms");
            }
            sleep(POLL_MS);
        }
    }

    /** Returns whether the router answers the balancer with 200. */
    static boolean isReady(Router router) {
        URI uri = URI.create("http://" + HOST + ":" + router.balancer() + "/masticweir/readyz");
        try {
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            try {
                return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
            } finally {
                connection.disconnect();
            }
        } catch (IOException e) {
            return false;
        }
    }

    private static void awaitPort(int port) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (System.nanoTime() < endNs) {
            try {
                new Socket(HOST, port).close();
                return;
            } catch (IOException e) {
                sleep(POLL_MS);
            }
        }
        throw new IOException("nothing listens at port " + port);
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException("no free port", e);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException("a case is not interrupted", e);
        }
    }

    private static void awaitEnd(Process process) {
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException("a case is not interrupted", e);
        }
    }

    @Override
    public void close() throws IOException {
        endAll();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void endAll() {
        for (Process process = processes.poll(); process != null; process = processes.poll()) {
            process.destroyForcibly();
            awaitEnd(process);
        }
    }
}
