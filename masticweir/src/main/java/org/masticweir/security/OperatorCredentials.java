package org.masticweir.security;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The operators of a deployment with the SHA-256 of each one's credential; immutable.
 *
 * <p>Its text has one operator a line, {@code name = hash in hexadecimal digits}. Blank lines and
 * lines that begin with {@code #} don't count.
 */
public final class OperatorCredentials {
    private static final String BEARER = "Bearer ";
    private static final int HASH_BYTES = 32;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Splitter LINES = Splitter.on('\n').trimResults().omitEmptyStrings();
    private static final Splitter SIDES = Splitter.on('=').trimResults().limit(2);

    private final ImmutableMap<String, byte[]> hashes;

    private OperatorCredentials(ImmutableMap<String, byte[]> hashes) {
        this.hashes = hashes;
    }

    /**
     * Returns the credentials that {@code text} holds.
     *
     * @throws IllegalArgumentException if a line is not valid, or there is none
     */
    public static OperatorCredentials parse(String text) {
        ImmutableMap.Builder<String, byte[]> hashes = ImmutableMap.builder();
        int number = 0;
        for (String line : LINES.split(checkNotNull(text, "text"))) {
            number++;
            if (line.startsWith("#")) {
                continue;
            }
            List<String> sides = SIDES.splitToList(line);
            boolean named = sides.size() == 2 && NAME.matcher(sides.get(0)).matches();
            checkArgument(named, "line %s is not name = hash", number);
            hashes.put(sides.get(0), hash(sides.get(1), number));
        }
        ImmutableMap<String, byte[]> built = hashes.buildOrThrow();
        checkArgument(!built.isEmpty(), "no operator is named");
        return new OperatorCredentials(built);
    }

    /** Returns the operator whose credential an {@code Authorization} header shows. */
    public Optional<String> operatorOf(String authorization) {
        if (!authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String shown = authorization.substring(BEARER.length());
        byte[] hash = Hashing.sha256().hashString(shown, StandardCharsets.UTF_8).asBytes();
        Optional<String> found = Optional.empty();
        // All are compared, each in constant time: how long a refusal takes must not tell how much
        // was right, nor whose it nearly was.
        for (Map.Entry<String, byte[]> operator : hashes.entrySet()) {
            if (MessageDigest.isEqual(hash, operator.getValue())) {
                found = Optional.of(operator.getKey());
            }
        }
        return found;
    }

    private static byte[] hash(String hex, int line) {
        boolean valid = BaseEncoding.base16().lowerCase().canDecode(hex);
        checkArgument(valid && hex.length() == 2 * HASH_BYTES, "line %s holds no SHA-256", line);
        return BaseEncoding.base16().lowerCase().decode(hex);
    }
}
