package org.masticweir.review;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A {@link BackEnd} as a child process, and its entry in the store. */
final class Server implements AutoCloseable {
    private final ServerId id;
    private final String service;
    private final long bornMs;
    private final Process process;
    private final int port;

    /** The id of a server, under which its entry stands in the store. */
    record ServerId(String value) {
        @Override
        public String toString() {
            return value;
        }
    }

    private Server(ServerId id, String service, long bornMs, Process process, int port) {
        this.id = id;
        this.service = service;
        this.bornMs = bornMs;
        this.process = process;
        this.port = port;
    }

    /** Starts a server with {@code options}; what it writes goes to {@code record}. */
    static Server start(ServerId id, String service, Record record, String... options)
            throws IOException {
        long bornMs = System.currentTimeMillis();
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(BackEnd.class.getName(), "id=" + id, "born=" + bornMs));
        command.addAll(List.of(options));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        BufferedReader out = process.inputReader();
        String first = out.readLine();
        if (first == null || !first.startsWith(BackEnd.PORT)) {
            process.destroyForcibly();
            throw new IOException("server " + id + " has not started: " + first);
        }
        Thread reader = new Thread(() -> out.lines().forEach(l -> record.add(id.value(), l)));
        reader.setDaemon(true);
        reader.start();
        int port = Integer.parseInt(first.substring(BackEnd.PORT.length()));
        return new Server(id, service, bornMs, process, port);
    }

    ServerId id() {
        return id;
    }

    /** Returns the entry that the server writes into the store. */
    String entry(long warmupLeftMs) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                        + "\"version\":\"1\",\"slots\":128,\"state\":\"ready\","
                        + "\"warmupLeftMs\":%d,\"seq\":1,\"born\":%d}",
                service, port, Site.ZONE, warmupLeftMs, bornMs);
    }

    /** Ends the process at once, as a crash does. */
    void kill() {
        process.destroyForcibly().onExit().join();
    }

    @Override
    public void close() {
        kill();
    }
}
