package org.masticweir.review;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** A client of the platform; each of its requests is one attempt with its own id. Thread-safe. */
final class Caller {
    private static final long CLOSE_MS = 500;

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private final AtomicInteger attempts = new AtomicInteger();
    private final InetSocketAddress router;
    private final Record record;

    Caller(InetSocketAddress router, Record record) {
        this.router = router;
        this.record = record;
    }

    /** The id of one attempt, for {@code X-Attempt-Id}. */
    private record AttemptId(String value) {}

    /** Sends a request and reads its answer; the result fails if the answer is broken off. */
    CompletableFuture<HttpResponse<String>> send(Site.Route route) {
        AttemptId id = nextAttempt();
        record.add("caller", "sends " + id.value() + " " + route);
        return client.sendAsync(request(id, route), HttpResponse.BodyHandlers.ofString())
                .whenComplete((answer, failure) -> recordEnd(id, answer, failure));
    }

    /** Sends a request whose answer is read as slowly as the caller of this method likes. */
    CompletableFuture<HttpResponse<InputStream>> open(Site.Route route) {
        AttemptId id = nextAttempt();
        record.add("caller", "sends " + id.value() + " " + route + ", to be read slowly");
        return client.sendAsync(request(id, route), HttpResponse.BodyHandlers.ofInputStream());
    }

    private AttemptId nextAttempt() {
        return new AttemptId(
                String.format("%08x%08x", router.getPort(), attempts.incrementAndGet()));
    }

    private HttpRequest request(AttemptId id, Site.Route route) {
        HttpRequest.BodyPublisher body =
                route.method().equals("GET")
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString("log " + id.value());
        URI uri = URI.create("http://" + Router.text(router) + route.prefix() + id.value());
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofMillis(route.deadlineMs() + CLOSE_MS))
                        .header("Host", Site.HOST)
                        .header("X-Attempt-Id", id.value())
                        .header("X-Deadline-Ms", Long.toString(route.deadlineMs()))
                        .header("Authorization", "Bearer " + Site.KEY)
                        .method(route.method(), body);
        if (route.isStream()) {
            request.header("X-Model", "m")
                    .header("X-Token-Count", "800,100")
                    .header("X-Prefix-Hash", "5c1e07a2:200," + id.value() + ":600");
        }
        return request.build();
    }

    private void recordEnd(AttemptId id, HttpResponse<String> answer, Throwable failure) {
        record.add(
                "caller",
                failure == null
                        ? String.format(
                                "gets %s %d, %d characters",
                                id.value(), answer.statusCode(), answer.body().length())
                        : "loses " + id.value() + ", " + failure.getMessage());
    }
}
