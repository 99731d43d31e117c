package org.masticweir.it;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.OptionalLong;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.IpAddress;

/** Makes calls at a callers' port as an ordinary HTTP client does; thread-safe. */
final class CallerHttp {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 15_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final InetSocketAddress router;

    CallerHttp(InetSocketAddress router) {
        this.router = router;
    }

    /** Returns a request to {@code path} with the credential of {@code team}. */
    HttpRequest.Builder as(String team, String path) {
        return anonymous(path)
                .header("Masticweir-Team", team)
                .header("Authorization", "Bearer " + team + "-secret");
    }

    /** Returns a request to {@code path} without a credential. */
    HttpRequest.Builder anonymous(String path) {
        URI uri = URI.create("http://" + IpAddress.text(router) + path);
        return HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(TIMEOUT_MS));
    }

    /** Says that a call is the first submission of its key, and the only one until its answer. */
    static HttpRequest.Builder first(HttpRequest.Builder call) {
        return call.header("Masticweir-Submission", "first");
    }

    /** Submits {@code request}, whose key may have been submitted before. */
    Answer submitWhole(CallRequest request) {
        return send(submission(request));
    }

    /** Submits {@code request}, whose key is submitted nowhere else before it is answered. */
    Answer submitFirstWhole(CallRequest request) {
        return send(first(submission(request)));
    }

    private HttpRequest.Builder submission(CallRequest request) {
        String body = request.body().replace("\"stream\":true", "\"stream\":false");
        return as(request.team(), "/v1/requests")
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body));
    }

    Answer send(HttpRequest.Builder request) {
        HttpResponse<String> response =
                Await.get(
                        "answer of " + IpAddress.text(router),
                        client.sendAsync(request.build(), BodyHandlers.ofString()),
                        2 * TIMEOUT_MS);
        try {
            return new Answer(
                    response.statusCode(),
                    MAPPER.readTree(response.body()),
                    response.headers().firstValueAsLong("Retry-After"));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(response.body(), e);
        }
    }

    /**
     * One answer, whose body is JSON.
     *
     * @param retryAfterS header {@code Retry-After}
     */
    record Answer(int status, JsonNode json, OptionalLong retryAfterS) {
        String code() {
            return json.path("code").asText();
        }

        String verdict() {
            return json.path("verdict").asText();
        }

        String submission() {
            return json.path("submission").asText();
        }

        long retryAfterMs() {
            return json.path("retry_after_ms").asLong();
        }
    }
}
