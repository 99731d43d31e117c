package org.masticweir.review;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One run of a case: a store, servers and routers, all of which end with it. The case's folder is
 * the one argument of its program; {@code TROUBLE=0} in the environment leaves the disruption out.
 */
final class Bed implements AutoCloseable {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private final Record record;
    private final Store store;
    private final Path temporary;
    private final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    private final Deque<AutoCloseable> started = new ArrayDeque<>();
    private boolean isClosed;

    /** What a case does; returns the breaks of its rule that callers and servers saw. */
    @FunctionalInterface
    interface Case {
        List<String> run(Bed bed) throws Exception;
    }

    private Bed(Record record) throws IOException {
        this.record = record;
        store = Store.start();
        temporary = Files.createTempDirectory("review");
    }

    /**
     * Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
     */
    static void main(String[] args, Case test) {
        int status = NOT_RUN;
        try (Record record = Record.create(Path.of(args[0], "record.txt"));
                Bed bed = new Bed(record)) {
            // Also if this process is told to end, nothing that it started is left.
            Runtime.getRuntime().addShutdownHook(new Thread(bed::close));
            record.add("case", bed.isTroubled ? "with the disruption" : "without the disruption");
            List<String> breaks = test.run(bed);
            breaks.forEach(b -> record.add("case", "BROKEN: " + b));
            record.add("case", breaks.isEmpty() ? "the rule held" : "the rule was broken");
            breaks.forEach(System.out::println);
            status = breaks.isEmpty() ? HELD : BROKEN;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    Record record() {
        return record;
    }

    Store store() {
        return store;
    }

    boolean isTroubled() {
        return isTroubled;
    }

    /** Starts {@code count} servers of a service with the same options and writes their entries. */
    List<Server> servers(int count, String service, String... options) throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server("i-" + service + "-" + i, service, options));
        }
        return servers;
    }

    /** Starts a server and writes its entry. */
    Server server(String id, String service, String... options) throws IOException {
        Server server = Server.start(new Server.ServerId(id), service, record, options);
        started.push(server);
        store.put("servers", id, server.entry(0));
        return server;
    }

    /** Starts a router; a configuration and a server must be in the store. */
    Router router(String id) throws Exception {
        Router router = Router.start(temporary, id, store);
        started.push(router);
        record.add(id, "serves callers at " + Router.text(router.callers()));
        return router;
    }

    @Override
    public synchronized void close() {
        if (isClosed) {
            return;
        }
        isClosed = true;
        try {
            while (!started.isEmpty()) {
                started.pop().close();
            }
            store.close();
            MoreFiles.deleteRecursively(temporary, RecursiveDeleteOption.ALLOW_INSECURE);
        } catch (Exception e) {
            e.printStackTrace();
        }
    }
}
