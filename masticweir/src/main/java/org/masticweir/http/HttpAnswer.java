package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole answer, status, headers and body; immutable.
 *
 * @param headers first value of each header, by lower-case name
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    public HttpAnswer {
        headers = ImmutableMap.copyOf(headers);
        body = body.clone();
    }

    /** Returns the answer of {@code head} and {@code body}. */
    public static HttpAnswer of(HttpHead head, byte[] body) {
        Map<String, String> first = new LinkedHashMap<>();
        head.headers()
                .fields()
                .forEach(f -> first.putIfAbsent(f.name().toLowerCase(Locale.ROOT), f.value()));
        return new HttpAnswer(head.status(), first, body);
    }

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(
                headers.get(checkNotNull(name, "name").toLowerCase(Locale.ROOT)));
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }
}
