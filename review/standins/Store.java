package org.masticweir.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The platform's store on loopback: rows in tables, their feed, transactions, and the drill in
 * which the store comes back from an older copy. Thread-safe.
 */
final class Store implements AutoCloseable {
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int CONFLICT = 412;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_WAIT_MS = 30_000;

    private final ObjectMapper json = new ObjectMapper();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private State state = new State(new TreeMap<>(), new ArrayList<>(), 10);
    private volatile int era;
    private boolean isAway;

    /** A row's place. */
    private record RowKey(String table, String key) implements Comparable<RowKey> {
        @Override
        public int compareTo(RowKey other) {
            int byTable = table.compareTo(other.table);
            return byTable != 0 ? byTable : key.compareTo(other.key);
        }
    }

    /** What a copy of the store holds: the rows, all changes, and the newest version. */
    private record State(TreeMap<RowKey, ObjectNode> rows, List<ObjectNode> changes, long version) {
        State copy() {
            return new State(new TreeMap<>(rows), new ArrayList<>(changes), version);
        }
    }

    private Store(HttpServer server) {
        this.server = server;
    }

    static Store start() throws IOException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Store store = new Store(HttpServer.create(any, 0));
        store.server.setExecutor(store.threads);
        store.server.createContext("/masticweir/rows-get", store::get);
        store.server.createContext("/masticweir/rows-feed", store::feed);
        store.server.createContext("/masticweir/rows-tx", store::transact);
        store.server.start();
        return store;
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Writes a row as the operator or a server; returns its version. */
    synchronized long put(String table, String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return change(new RowKey(table, key), Base64.getEncoder().encodeToString(bytes));
    }

    /** Removes a row; returns the version of the removal. */
    synchronized long remove(String table, String key) {
        return change(new RowKey(table, key), null);
    }

    /** A copy of the store as it is now. */
    final class Copy {
        private final State held = state.copy();

        /** The newest version that the copy holds. */
        long version() {
            return held.version();
        }
    }

    synchronized Copy copy() {
        return new Copy();
    }

    /** Answers no call from now on. */
    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    /**
     * Comes back with what {@code copy} holds, in a new era; {@code rewrite} writes again before
     * any call is answered.
     */
    synchronized void comeBackFrom(Copy copy, Runnable rewrite) {
        state = copy.held.copy();
        era++;
        rewrite.run();
        isAway = false;
        notifyAll();
    }

    private long change(RowKey key, String encoded) {
        long version = state.version() + 1;
        ObjectNode row =
                json.createObjectNode()
                        .put("table", key.table())
                        .put("part", "")
                        .put("key", key.key())
                        .put("ver", version);
        if (encoded == null) {
            row.put("deleted", true);
            state.rows().remove(key);
        } else {
            row.put("value", encoded);
            state.rows().put(key, row);
        }
        state.changes().add(row);
        state = new State(state.rows(), state.changes(), version);
        notifyAll();
        return version;
    }

    private void get(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        long limit = Long.parseLong(query.getOrDefault("limit", "500"));
        ObjectNode answer;
        synchronized (this) {
            if (isAway) {
                respond(exchange, UNAVAILABLE, json.createObjectNode());
                return;
            }
            answer = answer();
            ArrayNode rows = answer.putArray("rows");
            boolean hasMore = false;
            for (Map.Entry<RowKey, ObjectNode> row : state.rows().entrySet()) {
                String key = row.getKey().key();
                boolean isAsked =
                        row.getKey().table().equals(query.get("table"))
                                && key.compareTo(from) >= 0
                                && (to.isEmpty() || key.compareTo(to) < 0);
                hasMore |= isAsked && rows.size() == limit;
                if (isAsked && rows.size() < limit) {
                    rows.add(row.getValue());
                }
            }
            answer.put("hasMore", hasMore);
        }
        respond(exchange, OK, answer);
    }

    private void feed(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long since = Long.parseLong(query.getOrDefault("sinceRev", "0"));
        long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(query.getOrDefault("waitMs", "0")));
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        ObjectNode answer;
        synchronized (this) {
            int askedEra = era;
            List<ObjectNode> changes = changesAfter(since, query.get("table"));
            while (changes.isEmpty() && !isAway && askedEra == era) {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
                if (leftMs <= 0) {
                    break;
                }
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                changes = changesAfter(since, query.get("table"));
            }
            if (isAway || askedEra != era) {
                respond(exchange, UNAVAILABLE, json.createObjectNode());
                return;
            }
            if (since > state.version()) {
                respond(exchange, GONE, json.createObjectNode());
                return;
            }
            answer = answer();
            answer.putArray("rows").addAll(changes);
        }
        respond(exchange, OK, answer);
    }

    private List<ObjectNode> changesAfter(long since, String table) {
        return state.changes().stream()
                .filter(r -> r.path("ver").asLong() > since)
                .filter(r -> r.path("table").asText().equals(table))
                .toList();
    }

    private void transact(HttpExchange exchange) throws IOException {
        JsonNode entries = json.readTree(exchange.getRequestBody());
        ObjectNode answer;
        int status;
        synchronized (this) {
            if (isAway) {
                respond(exchange, UNAVAILABLE, json.createObjectNode());
                return;
            }
            boolean holds = true;
            ArrayNode current = json.createArrayNode();
            for (JsonNode expected : entries.path("expectRev")) {
                ObjectNode row = state.rows().get(keyOf(expected));
                long version = row == null ? 0 : row.path("ver").asLong();
                holds &= version == expected.path("ver").asLong();
                if (row != null) {
                    current.add(row);
                }
            }
            if (holds) {
                entries.path("put").forEach(p -> change(keyOf(p), p.path("value").asText()));
                entries.path("delete").forEach(d -> change(keyOf(d), null));
            }
            status = holds ? OK : CONFLICT;
            answer = answer();
            if (!holds) {
                answer.set("rows", current);
            }
        }
        respond(exchange, status, answer);
    }

    private static RowKey keyOf(JsonNode entry) {
        return new RowKey(entry.path("table").asText(), entry.path("key").asText());
    }

    private ObjectNode answer() {
        long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return json.createObjectNode().put("ver", state.version()).put("nowMs", nowMs);
    }

    private void respond(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = json.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", Integer.toString(era));
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String field : Splitter.on('&').split(exchange.getRequestURI().getRawQuery())) {
            int equals = field.indexOf('=');
            query.put(
                    field.substring(0, equals),
                    URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
