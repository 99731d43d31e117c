package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.http.IpAddress;

/** Puts instances on a platform's list and takes them off; thread-safe, blocks. */
final class InstanceListClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 5_000;

    private final HttpCaller calls;
    private final InetSocketAddress platform;

    InstanceListClient(HttpCaller calls, InetSocketAddress platform) {
        this.calls = checkNotNull(calls, "calls");
        this.platform = checkNotNull(platform, "platform");
    }

    /** One row of the list. */
    record Entry(String kind, String id, String domain, String group, InetSocketAddress at) {}

    /** Shows {@code entry} on the list in {@code state}, after the list's lag. */
    void put(Entry entry, String state) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("kind", entry.kind()).put("id", entry.id()).put("domain", entry.domain());
        json.put("group", entry.group()).put("address", IpAddress.text(entry.at()));
        json.put("state", state);
        send("PUT", entry.id(), json.toString().getBytes(StandardCharsets.UTF_8));
    }

    void remove(String id) {
        send("DELETE", id, new byte[0]);
    }

    private void send(String method, String id, byte[] body) {
        ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", "application/json");
        HttpCall call = new HttpCall(method, platform, "/instances/" + id, headers, body);
        HttpOutcome outcome = Await.get(call.path(), calls.call(call, TIMEOUT_MS), 2 * TIMEOUT_MS);
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            throw new AssertionError("the platform did not take " + call.path() + ": " + outcome);
        }
    }
}
