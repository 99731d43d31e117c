package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSet;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import org.masticweir.claims.ClaimRow;
import org.masticweir.control.LeaseRow;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;

/** Reads the rows of leases, orders and claims in the platform's table; thread-safe, blocks. */
final class ControlTable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 2_000;
    private static final int MAX_ROWS = 1_000;

    private final HttpCaller calls;
    private final InetSocketAddress platform;

    ControlTable(HttpCaller calls, InetSocketAddress platform) {
        this.calls = checkNotNull(calls, "calls");
        this.platform = checkNotNull(platform, "platform");
    }

    /** The journal row of an engine; {@code kind} is that of its order, the last one if closed. */
    record Journal(long fencing, boolean open, String kind) {}

    /** Returns the lease of {@code domain}; empty while there is none or the table is out. */
    Optional<LeaseRow> lease(String domain) {
        return value("leases/domain-" + domain).map(LeaseRow::decode);
    }

    /** Returns the journal row of {@code engine}; empty while there is none. */
    Optional<Journal> journal(BackEndProcess engine) {
        return value("orders/" + engine.id())
                .map(ControlTable::json)
                .map(
                        row ->
                                new Journal(
                                        row.path("fencing").asLong(),
                                        row.path("open").asBoolean(),
                                        json(row.path("order").asText()).path("kind").asText()));
    }

    /** Returns the keys of the claims that are there; none while the table is out. */
    Set<String> claims() {
        ImmutableSet.Builder<String> keys = ImmutableSet.builder();
        read(ClaimRow.TABLE + "?limit=" + MAX_ROWS)
                .ifPresent(
                        rows -> rows.path("rows").forEach(r -> keys.add(r.path("key").asText())));
        return keys.build();
    }

    private Optional<String> value(String path) {
        return read(path).map(row -> row.path("value").asText());
    }

    private Optional<JsonNode> read(String path) {
        HttpOutcome outcome =
                calls.call(HttpCall.get(platform, "/tables/" + path), TIMEOUT_MS).join();
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            return Optional.empty();
        }
        return Optional.of(json(a.answer().text()));
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
