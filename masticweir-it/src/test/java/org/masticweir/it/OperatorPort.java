package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** Calls one router's operator address; thread-safe. */
final class OperatorPort {
    /** Over the router's own bound on an answer, so that the router's word comes first. */
    static final long ANSWER_BOUND_MS = 18_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long QUERY_TIMEOUT_MS = 1_000;

    private final HttpCaller calls;
    private final InetSocketAddress address;

    OperatorPort(HttpCaller calls, InetSocketAddress address) {
        this.calls = checkNotNull(calls, "calls");
        this.address = checkNotNull(address, "address");
    }

    /** An answer whose body is JSON; status 0 when none came. */
    record Answer(int status, JsonNode json) {
        String outcome() {
            return json.path("outcome").asText();
        }

        String code() {
            return json.path("code").asText();
        }

        long revision() {
            return json.path("revision").asLong();
        }

        /** Tells whether the answer says that {@code domain} holds the change. */
        boolean heldIn(String domain) {
            for (JsonNode node : json.path("domains")) {
                if (node.path("domain").asText().equals(domain)) {
                    return node.path("holds").asBoolean();
                }
            }
            return false;
        }
    }

    /** What an operator proposes. */
    record Change(long base, String id, String document) {}

    /** Returns the answer to a query; empty when the router does not answer. */
    Optional<JsonNode> query(String path) {
        Answer answer = call(HttpCall.get(address, path), QUERY_TIMEOUT_MS).join();
        return answer.status() == 200 ? Optional.of(answer.json()) : Optional.empty();
    }

    JsonNode status() {
        return query("/v1/status").orElse(MAPPER.missingNode());
    }

    /** Returns the revision in force, 0 when there is none or no answer. */
    long revision() {
        return status().path("config_revision").asLong();
    }

    /** Returns what this router says of {@code peer}, or {@code unknown}. */
    String stateOf(String peer) {
        for (JsonNode node : status().path("peers")) {
            if (node.path("router").asText().equals(peer)) {
                return node.path("state").asText();
            }
        }
        return "unknown";
    }

    /** Returns what this router says of the engine {@code id}, or {@code unknown}. */
    String engineState(String id) {
        JsonNode engines = query("/v1/engines").orElse(MAPPER.missingNode()).path("engines");
        for (JsonNode node : engines) {
            if (node.path("id").asText().equals(id)) {
                return node.path("state").asText();
            }
        }
        return "unknown";
    }

    CompletableFuture<Answer> propose(Change change) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("base_revision", change.base()).put("change_id", change.id());
        body.put("author", "test").put("document", change.document()).put("dry_run", false);
        return call(HttpCall.postJson(address, "/v1/config", body.toString()), ANSWER_BOUND_MS);
    }

    /** Proposes {@code change} and waits for its answer. */
    Answer apply(Change change) {
        return Await.get("answer to " + change.id(), propose(change), ANSWER_BOUND_MS);
    }

    private CompletableFuture<Answer> call(HttpCall call, long timeoutMs) {
        return calls.call(call, timeoutMs).thenApply(OperatorPort::read);
    }

    private static Answer read(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return new Answer(0, MAPPER.missingNode());
        }
        try {
            String text = answered.answer().text();
            return new Answer(answered.answer().status(), MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
