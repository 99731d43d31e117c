package org.masticweir.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store as a process: rows, transactions and the feed of changes. */
public final class StoreStandIn {
    private static final int PAGE_ROWS = 500;
    private static final int CONFLICT = 412;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TreeMap<String, ObjectNode> rows = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private long version = 1;

    private StoreStandIn() {}

    /** Serves the store at the port of 127.0.0.1 that the first argument names. */
    public static void main(String[] args) throws IOException {
        StoreStandIn store = new StoreStandIn();
        int port = Integer.parseInt(args[0]);
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/masticweir/rows-tx", store::transact);
        server.createContext("/masticweir/rows-get", store::read);
        server.createContext("/masticweir/rows-feed", store::follow);
        server.start();
    }

    private void transact(HttpExchange exchange) throws IOException {
        JsonNode call = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        int status = 200;
        synchronized (this) {
            ArrayNode conflicts = JsonNodeFactory.instance.arrayNode();
            for (JsonNode check : call.path("expectRev")) {
                ObjectNode row = rows.get(id(check));
                long actual = row == null ? 0 : row.path("ver").asLong();
                if (actual != check.path("ver").asLong()) {
                    conflicts.add(row == null ? check : row);
                }
            }
            if (conflicts.isEmpty()) {
                apply(call);
            } else {
                status = CONFLICT;
                answer.set("rows", conflicts);
            }
            answer.put("ver", version);
        }
        send(exchange, status, answer);
    }

    private void apply(JsonNode call) {
        version++;
        for (JsonNode put : call.path("put")) {
            ObjectNode row = row(put).put("value", put.path("value").asText());
            rows.put(id(put), row);
            history.add(row);
        }
        for (JsonNode delete : call.path("delete")) {
            rows.remove(id(delete));
            history.add(row(delete).put("deleted", true));
        }
        notifyAll();
    }

    private ObjectNode row(JsonNode entry) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("table", entry.path("table").asText())
                .put("part", entry.path("part").asText())
                .put("key", entry.path("key").asText())
                .put("ver", version);
    }

    private static String id(JsonNode entry) {
        return entry.path("table").asText()
                + '\n'
                + entry.path("part").asText()
                + '\n'
                + entry.path("key").asText();
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String prefix = query.get("table") + '\n' + query.getOrDefault("part", "") + '\n';
        String first = prefix + query.getOrDefault("from", "");
        int limit =
                Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        ArrayNode page = answer.putArray("rows");
        boolean hasMore = false;
        synchronized (this) {
            for (Map.Entry<String, ObjectNode> entry : rows.tailMap(first, true).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    break;
                }
                if (page.size() == limit) {
                    hasMore = true;
                    break;
                }
                page.add(entry.getValue());
            }
            answer.put("hasMore", hasMore).put("ver", version);
        }
        send(exchange, 200, answer);
    }

    private void follow(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String table = query.get("table");
        long since = Long.parseLong(query.get("sinceRev"));
        long endNs = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        ArrayNode changes = answer.putArray("rows");
        synchronized (this) {
            addChanges(changes, table, since);
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            while (changes.isEmpty() && leftMs > 0) {
                awaitChange(leftMs);
                addChanges(changes, table, since);
                leftMs = (endNs - System.nanoTime()) / 1_000_000;
            }
            answer.put("ver", version);
        }
        send(exchange, 200, answer);
    }

    private void addChanges(ArrayNode changes, String table, long since) {
        for (ObjectNode row : history) {
            if (row.path("ver").asLong() > since && row.path("table").asText().equals(table)) {
                changes.add(row);
            }
        }
    }

    private void awaitChange(long ms) {
        try {
            wait(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException("the store is not interrupted", e);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            int end = pair.indexOf('=');
            String value = URLDecoder.decode(pair.substring(end + 1), StandardCharsets.UTF_8);
            values.put(pair.substring(0, end), value);
        }
        return values;
    }

    private static void send(HttpExchange exchange, int status, ObjectNode answer)
            throws IOException {
        answer.put("nowMs", System.nanoTime() / 1_000_000);
        byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
