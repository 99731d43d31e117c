package org.masticweir.http;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;

/**
 * Parses the lines of answers as RFC 9110 and RFC 9112 define them, without the leniency that both
 * permit. Lines come without their terminators, each byte as one character.
 */
final class HttpGrammar {
    private static final String CHUNKED = "chunked";
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_START = VERSION_PREFIX.length() + 2;
    private static final int STATUS_END = STATUS_START + 3;
    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;

    /** Digits of which any number fits a {@code long}. */
    private static final int MAX_DECIMAL_DIGITS = 18;

    private static final int MAX_HEX_DIGITS = 15;
    private static final int HEX_RADIX = 16;

    private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9').precomputed();
    private static final CharMatcher HEX_DIGIT =
            DIGIT.or(CharMatcher.inRange('a', 'f')).or(CharMatcher.inRange('A', 'F')).precomputed();
    private static final CharMatcher TOKEN =
            DIGIT.or(CharMatcher.inRange('a', 'z'))
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();
    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t").precomputed();
    private static final CharMatcher TEXT =
            BLANK.or(CharMatcher.inRange('!', '~'))
                    .or(CharMatcher.inRange('\u0080', '\u00ff'))
                    .precomputed();

    private HttpGrammar() {}

    /** The first line of an answer. */
    record StatusLine(boolean isHttp10, int status) {}

    /** Returns whether the character at {@code index} may be part of a status line. */
    static boolean mayBeInStatusLine(int index, char c) {
        return index >= VERSION_PREFIX.length() || c == VERSION_PREFIX.charAt(index);
    }

    /** Parses {@code HTTP-version SP status-code SP [ reason-phrase ]}. */
    static StatusLine parseStatusLine(String line) throws MalformedAnswerException {
        check(
                line.length() > STATUS_END
                        && line.startsWith(VERSION_PREFIX)
                        && line.charAt(STATUS_START - 1) == ' '
                        && line.charAt(STATUS_END) == ' '
                        && TEXT.matchesAllOf(line),
                "the first line is not a status line");
        char minorVersion = line.charAt(VERSION_PREFIX.length());
        check(minorVersion == '0' || minorVersion == '1', "the version is not 1.0 or 1.1");
        long status = parseDecimal(line.substring(STATUS_START, STATUS_END), "the status");
        check(
                status >= FIRST_STATUS && status <= LAST_STATUS,
                "the status is not in the range 100 to 599");
        return new StatusLine(minorVersion == '0', (int) status);
    }

    /** Parses {@code field-name ":" OWS field-value OWS}. */
    static HttpHeaders.Field parseField(String line) throws MalformedAnswerException {
        int colon = line.indexOf(':');
        check(colon > 0, "a line of the head or the trailer is not a field");
        String name = line.substring(0, colon);
        check(TOKEN.matchesAllOf(name), "the name of a field is not a token");
        String value = BLANK.trimFrom(line.substring(colon + 1));
        check(TEXT.matchesAllOf(value), "the value of a field has a control character");
        return new HttpHeaders.Field(name, value);
    }

    /** Parses the value of a content length. */
    static long parseLength(String value) throws MalformedAnswerException {
        return parseDecimal(value, "the content length");
    }

    /** Checks that {@code value} is the one transfer coding that is read. */
    static void checkCoding(String value) throws MalformedAnswerException {
        check(Ascii.equalsIgnoreCase(value, CHUNKED), "the transfer coding is not chunked");
    }

    /** Parses {@code chunk-size [ chunk-ext ]} and returns the size. */
    static long parseChunkSize(String line) throws MalformedAnswerException {
        int end = HEX_DIGIT.negate().indexIn(line);
        String digits = end < 0 ? line : line.substring(0, end);
        String extension = end < 0 ? "" : BLANK.trimLeadingFrom(line.substring(end));
        String size = CharMatcher.is('0').trimLeadingFrom(digits);
        check(
                !digits.isEmpty()
                        && size.length() <= MAX_HEX_DIGITS
                        && (end < 0 || extension.startsWith(";"))
                        && TEXT.matchesAllOf(extension),
                "the size of a chunk is malformed");
        return size.isEmpty() ? 0 : Long.parseLong(size, HEX_RADIX);
    }

    private static long parseDecimal(String text, String what) throws MalformedAnswerException {
        check(!text.isEmpty() && DIGIT.matchesAllOf(text), what + " is not a number");
        String digits = CharMatcher.is('0').trimLeadingFrom(text);
        check(digits.length() <= MAX_DECIMAL_DIGITS, what + " is too large");
        return digits.isEmpty() ? 0 : Long.parseLong(digits);
    }

    /**
     * Throws an exception unless {@code isMet}.
     *
     * @param message what is malformed
     */
    static void check(boolean isMet, String message) throws MalformedAnswerException {
        if (!isMet) {
            throw new MalformedAnswerException(message);
        }
    }
}
