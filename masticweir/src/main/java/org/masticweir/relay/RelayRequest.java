package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.masticweir.catalog.TeamName;
import org.masticweir.forward.RequestParameters;
import org.masticweir.forward.Step;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHeaders;

/**
 * A caller's request as received by the router; immutable.
 *
 * @param path path and query as received
 * @param catalogVersion version of the catalog with which the request was admitted
 * @param body body of the request; not copied, because it may be long and is never modified
 */
record RelayRequest(
        RequestParameters params,
        RequestMetadata metadata,
        Optional<TeamName> team,
        String method,
        String path,
        HttpHeaders headers,
        byte[] body,
        long catalogVersion) {
    RelayRequest {
        checkNotNull(params, "params");
        checkNotNull(metadata, "metadata");
        checkNotNull(team, "team");
        checkNotNull(method, "method");
        checkNotNull(path, "path");
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    static RelayRequest of(
            HttpServerExchange exchange,
            RequestParameters params,
            RequestMetadata metadata,
            Optional<TeamName> team,
            HttpHeaders headers,
            byte[] body,
            long catalogVersion) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
        String method = exchange.getRequestMethod().toString();
        return new RelayRequest(
                params, metadata, team, method, path, headers, body, catalogVersion);
    }

    /** Returns the id that the caller has assigned to this attempt. */
    String id() {
        return metadata.requestId();
    }

    /** Returns the HTTP call for {@code send}. */
    HttpCall toCall(Step.Send send, PlatformProtocol protocol, long nowMs) {
        long leftMs = Math.max(1, params.expiresMs() - nowMs);
        SendMetadata sendMetadata = new SendMetadata(metadata.requestId(), send, team, leftMs);
        return new HttpCall(
                method,
                send.server().address(),
                path,
                protocol.headersToServer(headers, sendMetadata),
                body);
    }
}
