package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The header fields of one message, names compared without regard to case; immutable. */
public final class HttpHeaders {
    private static final HttpHeaders NONE = new HttpHeaders(ImmutableList.of());

    private final ImmutableList<Field> fields;

    private HttpHeaders(ImmutableList<Field> fields) {
        this.fields = fields;
    }

    /** One field as it stands on the wire. */
    public record Field(String name, String value) {
        public Field {
            checkNotNull(name, "name");
            checkNotNull(value, "value");
        }

        boolean isNamed(String other) {
            return Ascii.equalsIgnoreCase(name, other);
        }
    }

    public static HttpHeaders none() {
        return NONE;
    }

    public static HttpHeaders copyOf(Map<String, String> values) {
        Builder builder = builder();
        values.forEach(builder::add);
        return builder.build();
    }

    /** Returns the fields of {@code map}, the values of a name in their order. */
    public static HttpHeaders copyOf(HeaderMap map) {
        Builder builder = builder();
        for (HeaderValues values : map) {
            String name = values.getHeaderName().toString();
            values.forEach(v -> builder.add(name, v));
        }
        return builder.build();
    }

    public static Builder builder() {
        return new Builder();
    }

    public ImmutableList<Field> fields() {
        return fields;
    }

    /** Returns the first value of {@code name}. */
    public Optional<String> first(String name) {
        for (Field field : fields) {
            if (field.isNamed(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /** Returns how many fields are called {@code name}. */
    public int count(String name) {
        return (int) fields.stream().filter(f -> f.isNamed(name)).count();
    }

    /** Returns these fields but for those with a name in {@code lowerCaseNames}. */
    public HttpHeaders without(Set<String> lowerCaseNames) {
        return new HttpHeaders(
                fields.stream()
                        .filter(f -> !lowerCaseNames.contains(Ascii.toLowerCase(f.name())))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Adds the fields to {@code map}. */
    public void addTo(HeaderMap map) {
        fields.forEach(f -> map.add(HttpString.tryFromString(f.name()), f.value()));
    }

    @Override
    public String toString() {
        return fields.toString();
    }

    /** Collects fields; not thread-safe. */
    public static final class Builder {
        private final ImmutableList.Builder<Field> fields = ImmutableList.builder();

        private Builder() {}

        /** Adds a field after those that are there. */
        public Builder add(String name, String value) {
            fields.add(new Field(name, value));
            return this;
        }

        public Builder addAll(HttpHeaders more) {
            fields.addAll(more.fields);
            return this;
        }

        public HttpHeaders build() {
            return new HttpHeaders(fields.build());
        }
    }
}
