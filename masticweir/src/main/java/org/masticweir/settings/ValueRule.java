package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.masticweir.http.IpAddress;

/**
 * What one key may hold: turns text into a value, or says what is allowed; immutable.
 *
 * <p>Each rule carries an example. A reader goes on with it after a problem, so that one pass finds
 * every problem of a text; the result of such a pass is never used.
 */
public final class ValueRule<T> {
    /** Longest value of any key, in characters. */
    static final int MAX_VALUE_CHARS = 4096;

    /** Most entries of a list value. */
    static final int MAX_LIST_ENTRIES = 64;

    private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Splitter COMMAS = Splitter.on(',').trimResults();

    private final String allowed;
    private final T example;
    private final Function<String, Optional<T>> parser;

    private ValueRule(String allowed, T example, Function<String, Optional<T>> parser) {
        this.allowed = checkNotNull(allowed, "allowed");
        this.example = checkNotNull(example, "example");
        this.parser = checkNotNull(parser, "parser");
    }

    /** Returns a rule for an identifier that is a token and that {@code factory} accepts. */
    public static <T> ValueRule<T> id(Function<String, T> factory) {
        String allowed = "letters, digits, dots, hyphens and underscores, a letter or digit first";
        return new ValueRule<>(
                allowed,
                factory.apply("a"),
                text -> TOKEN.matcher(text).matches() ? accepted(factory, text) : Optional.empty());
    }

    /** Returns a rule for a name in any characters that {@code factory} accepts. */
    public static <T> ValueRule<T> name(Function<String, T> factory) {
        return new ValueRule<>(
                "a name without control characters, of at most 200 bytes in UTF-8",
                factory.apply("a"),
                text -> accepted(factory, text));
    }

    /** Returns a rule for text that matches {@code pattern}, described as {@code allowed}. */
    public static ValueRule<String> text(String allowed, Pattern pattern, String example) {
        checkArgument(pattern.matcher(example).matches(), "example %s breaks the rule", example);
        return new ValueRule<>(
                allowed,
                example,
                text -> Optional.of(text).filter(t -> pattern.matcher(t).matches()));
    }

    /** Returns a rule for a whole number; the key's name gives the unit. */
    public static ValueRule<Integer> integer(String key, int min, int max) {
        checkArgument(min <= max, "range %s to %s", min, max);
        String words = "a whole number" + Unit.ofKey(key).words();
        return new ValueRule<>(
                words + " from " + min + " to " + max,
                min,
                text -> Optional.ofNullable(Ints.tryParse(text)).filter(n -> n >= min && n <= max));
    }

    /** Returns a rule for a number with or without a fraction. */
    public static ValueRule<Double> decimal(double min, double max) {
        checkArgument(min <= max, "range %s to %s", min, max);
        return new ValueRule<>(
                "a number from " + min + " to " + max,
                min,
                text ->
                        Optional.ofNullable(Doubles.tryParse(text))
                                .filter(n -> n >= min && n <= max));
    }

    /** Returns a rule for the constants of an enum in lower case. */
    public static <E extends Enum<E>> ValueRule<E> enumOf(Class<E> type) {
        List<E> constants = ImmutableList.copyOf(type.getEnumConstants());
        String allowed = constants.stream().map(ValueRule::word).collect(Collectors.joining(", "));
        return new ValueRule<>(
                "one of " + allowed,
                constants.get(0),
                text -> constants.stream().filter(c -> word(c).equals(text)).findFirst());
    }

    /** Returns a rule for {@code true} or {@code false}. */
    public static ValueRule<Boolean> bool() {
        return new ValueRule<>(
                "one of true, false",
                false,
                text ->
                        Arrays.asList("true", "false").contains(text)
                                ? Optional.of(text.equals("true"))
                                : Optional.empty());
    }

    /** Returns a rule for an IP number and port; names are not looked up. */
    public static ValueRule<InetSocketAddress> address() {
        return new ValueRule<>(
                "an IP address and a port from 1 to 65535, as in 127.0.0.1:7081",
                new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 7081),
                ValueRule::parseAddress);
    }

    /** Returns a rule for values with commas between, none of them twice. */
    public static <T> ValueRule<List<T>> listOf(ValueRule<T> entry) {
        return new ValueRule<>(
                "with commas between and none twice, each " + entry.allowed,
                ImmutableList.of(entry.example),
                text -> parseList(entry, text));
    }

    /** Returns the value that {@code text} tells, or empty when the rule does not allow it. */
    public Optional<T> parse(String text) {
        return text.length() > MAX_VALUE_CHARS ? Optional.empty() : parser.apply(text);
    }

    /** Returns what is allowed, in words that end a sentence. */
    public String allowed() {
        return allowed;
    }

    T example() {
        return example;
    }

    private static <T> Optional<T> accepted(Function<String, T> factory, String text) {
        try {
            return Optional.of(factory.apply(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String word(Enum<?> constant) {
        return Ascii.toLowerCase(constant.name());
    }

    private static Optional<InetSocketAddress> parseAddress(String text) {
        try {
            return Optional.of(IpAddress.parse(text)).filter(a -> a.getPort() != 0);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static <T> Optional<List<T>> parseList(ValueRule<T> entry, String text) {
        List<T> values =
                COMMAS.splitToStream(text)
                        .map(entry::parse)
                        .flatMap(Optional::stream)
                        .distinct()
                        .collect(ImmutableList.toImmutableList());
        int entries = COMMAS.splitToList(text).size();
        boolean whole = values.size() == entries && entries <= MAX_LIST_ENTRIES;
        return whole ? Optional.of(values) : Optional.empty();
    }
}
