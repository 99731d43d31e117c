package org.masticweir.path;

import java.util.Arrays;

/** Result of a request for a tunnel, with its status on the wire. */
enum TunnelStatus {
    /** The server has accepted the connection; bytes are passed on from here. */
    OPEN(200, "OK"),
    /** The key is wrong. */
    FORBIDDEN(403, "Forbidden"),
    /** The server is not listed at the carrying router. */
    NOT_LISTED(404, "Not Found"),
    /** The carrying router reaches other servers, and not this server. */
    UNREACHABLE(502, "Bad Gateway"),
    /** The carrying router has as many tunnels as it takes, or is shutting down. */
    BUSY(503, "Service Unavailable"),
    /** The carrying router has lost its own paths. */
    NO_PATH(504, "Gateway Timeout"),
    /** No usable reply arrived; never sent. */
    NO_REPLY(0, "");

    private final int code;
    private final String phrase;

    TunnelStatus(int code, String phrase) {
        this.code = code;
        this.phrase = phrase;
    }

    /** Returns the reply without a body. */
    String toHead() {
        String end = this == OPEN ? "" : "Connection: close\r\n";
        return "HTTP/1.1 " + code + " " + phrase + "\r\nContent-Length: 0\r\n" + end + "\r\n";
    }

    static TunnelStatus ofCode(int code) {
        return Arrays.stream(values()).filter(s -> s.code == code).findAny().orElse(NO_REPLY);
    }

    /** Returns whether the reply tells that the carrying router can't be used at all now. */
    boolean isFailureOfPeer() {
        return this == BUSY || this == NO_PATH || this == NO_REPLY || this == FORBIDDEN;
    }
}
