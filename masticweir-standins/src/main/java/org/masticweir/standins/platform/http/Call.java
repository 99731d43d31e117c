package org.masticweir.standins.platform.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** One HTTP call with its whole body; the body is not copied, so neither side may change it. */
public final class Call {
    private final String method;
    private final String path;
    private final ImmutableMap<String, String> query;
    private final byte[] body;

    private Call(String method, String path, Map<String, String> query, byte[] body) {
        this.method = checkNotNull(method, "method");
        this.path = checkNotNull(path, "path");
        this.query = ImmutableMap.copyOf(query);
        this.body = checkNotNull(body, "body");
    }

    static Call of(String method, String path, Map<String, String> query, byte[] body) {
        return new Call(method, path, query, body);
    }

    /** Tells whether the call has this method and exactly this path. */
    public boolean is(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path.equals(wantedPath);
    }

    /** Returns what follows {@code prefix} in the path, still percent-encoded, if it does. */
    public Optional<String> after(String wantedMethod, String prefix) {
        if (!method.equals(wantedMethod) || !path.startsWith(prefix)) {
            return Optional.empty();
        }
        return Optional.of(path.substring(prefix.length())).filter(rest -> !rest.isEmpty());
    }

    public Optional<String> query(String name) {
        return Optional.ofNullable(query.get(name));
    }

    public byte[] body() {
        return body;
    }

    /** Returns the body as a message of {@code type}, or throws with code BAD_REQUEST. */
    public <T> T message(Class<T> type) {
        return Json.read(body, type);
    }

    /** Returns the text behind a percent-encoded part of a path; a plus sign stands for itself. */
    public static String decoded(String part) {
        try {
            return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw MasticweirException.notRun(
                    ErrorCode.BAD_REQUEST, "path is not percent-encoded: " + part);
        }
    }

    @Override
    public String toString() {
        return method + " " + path;
    }
}
