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

/** Writes the first configuration and the instance list of a test's platform; thread-safe. */
final class PlatformClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 5_000;

    private final HttpCaller calls;
    private final InetSocketAddress address;

    PlatformClient(HttpCaller calls, InetSocketAddress address) {
        this.calls = checkNotNull(calls, "calls");
        this.address = checkNotNull(address, "address");
    }

    /** Installs {@code document} as revision 1 into an empty table. */
    void install(String document) {
        ObjectNode value = MAPPER.createObjectNode();
        value.put("revision", 1);
        value.put("change_id", "install");
        value.put("author", "install");
        value.put("at_ms", 0);
        value.put("document", document);
        ObjectNode transaction = MAPPER.createObjectNode();
        ObjectNode check = transaction.putArray("checks").addObject();
        check.put("table", "config").put("key", "current").put("revision", 0);
        ObjectNode put = transaction.putArray("puts").addObject();
        put.put("table", "config").put("key", "current").put("value", value.toString());
        transaction.putArray("deletes");
        send(HttpCall.postJson(address, "/tables/txn", transaction.toString()));
    }

    /** Puts {@code backEnd} on the instance list as reachable at {@code at}. */
    void announce(BackEndProcess backEnd, InetSocketAddress at, String state) {
        put(
                new Instance(
                        backEnd.kind().word(),
                        backEnd.id(),
                        backEnd.domain(),
                        backEnd.group(),
                        IpAddress.text(at),
                        state));
    }

    /** Puts {@code router} on the instance list as reachable through the proxy. */
    void announceRouter(RouterProcess router) {
        String address = IpAddress.text(router.peers());
        put(new Instance("router", router.id(), router.domain(), "routers", address, "live"));
    }

    /** Takes an instance off the list. */
    void remove(String id) {
        send(new HttpCall("DELETE", address, "/instances/" + id, ImmutableMap.of(), new byte[0]));
    }

    private void put(Instance instance) {
        byte[] body = MAPPER.valueToTree(instance).toString().getBytes(StandardCharsets.UTF_8);
        ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", "application/json");
        send(new HttpCall("PUT", address, "/instances/" + instance.id(), headers, body));
    }

    private void send(HttpCall call) {
        HttpOutcome outcome = Await.get(call.path(), calls.call(call, TIMEOUT_MS), 2 * TIMEOUT_MS);
        if (!(outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess())) {
            throw new AssertionError("the platform did not take " + call.path() + ": " + outcome);
        }
    }

    /** One row of the instance list. */
    private record Instance(
            String kind, String id, String domain, String group, String address, String state) {}
}
