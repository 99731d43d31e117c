package org.masticweir.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Calls one stand-in over HTTP, each call within a bounded time. */
public final class TestClient {
    public static final long LIMIT_MS = 10_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final InetSocketAddress address;

    public TestClient(InetSocketAddress address) {
        this.address = address;
    }

    public HttpRequest.Builder request(String path) {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        return HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(LIMIT_MS));
    }

    public HttpResponse<String> get(String path) {
        return join(send(request(path).build()));
    }

    public JsonNode json(String path) {
        return parse(get(path).body());
    }

    public HttpResponse<String> post(String path, String body) {
        return join(send(posting(path, body)));
    }

    public HttpResponse<String> delete(String path) {
        return join(send(request(path).DELETE().build()));
    }

    /** Opens a stream and returns its lines, read as they come. */
    public Stream<String> lines(HttpRequest request) {
        return join(HTTP.sendAsync(request, BodyHandlers.ofLines())).body();
    }

    public CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return HTTP.sendAsync(request, BodyHandlers.ofString());
    }

    public HttpRequest posting(String path, String body) {
        return request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    }

    public static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
    }

    /** Returns the JSON that {@code text} holds. */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Asks again until {@code condition} holds; fails after the limit. */
    public static void await(Supplier<Boolean> condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
        while (!condition.get()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + LIMIT_MS + " ms");
            }
            Thread.onSpinWait();
        }
    }
}
