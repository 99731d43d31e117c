package org.masticweir.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One HTTP exchange to be made; immutable.
 *
 * @param headers all fields but the length; without a host field the address stands in for it
 * @param path path and query as they go on the wire, already percent-encoded
 * @param body bytes of the body; empty for none
 */
public record HttpCall(
        String method, InetSocketAddress address, String path, HttpHeaders headers, byte[] body) {
    private static final byte[] NO_BODY = {};

    public HttpCall {
        checkNotNull(method, "method");
        checkNotNull(address, "address");
        checkArgument(!address.isUnresolved(), "address %s is not an IP number", address);
        checkArgument(path.startsWith("/"), "path %s does not start with a slash", path);
        checkNotNull(headers, "headers");
        body = body.clone();
    }

    public HttpCall(
            String method,
            InetSocketAddress address,
            String path,
            Map<String, String> headers,
            byte[] body) {
        this(method, address, path, HttpHeaders.copyOf(headers), body);
    }

    public static HttpCall get(InetSocketAddress address, String path) {
        return new HttpCall("GET", address, path, HttpHeaders.none(), NO_BODY);
    }

    /** Returns a {@code POST} of {@code json}. */
    public static HttpCall postJson(InetSocketAddress address, String path, String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = ImmutableMap.of("Content-Type", "application/json");
        return new HttpCall("POST", address, path, headers, bytes);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }
}
