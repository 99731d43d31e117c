package org.masticweir.review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;

/** Writes rows to the store, as the operator and the servers do. */
final class StoreClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client = HttpClient.newHttpClient();
    private final URI transactions;

    StoreClient(int port) {
        transactions = URI.create("http://127.0.0.1:" + port + "/masticweir/rows-tx");
    }

    /** Writes one row and returns once the store has acknowledged it. */
    void put(String table, String key, String value) throws IOException {
        ObjectNode call = JsonNodeFactory.instance.objectNode();
        call.putArray("put")
                .addObject()
                .put("table", table)
                .put("part", "")
                .put("key", key)
                .put(
                        "value",
                        Base64.getEncoder()
                                .encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        HttpRequest request =
                HttpRequest.newBuilder(transactions)
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(call.toString()))
                        .build();
        try {
            int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
            if (status != 200) {
                throw new IOException("the store answered " + status);
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }
}
