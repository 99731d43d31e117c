package org.masticweir.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Utf8;
import java.util.regex.Pattern;

/** The checks that all textual identifiers share. */
final class Ids {
    /** Longest identifier accepted, in characters; bounds what an outsider can make us keep. */
    static final int MAX_LENGTH = 128;

    /** Longest name accepted, in UTF-8; the platform's store bounds its keys so. */
    static final int MAX_NAME_BYTES = 200;

    private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Ids() {}

    /** Returns {@code value} if it is a token of letters, digits, dots, hyphens and underscores. */
    static String checkToken(String what, String value) {
        checkNotNull(value, "%s", what);
        checkArgument(value.length() <= MAX_LENGTH, "%s longer than %s", what, MAX_LENGTH);
        checkArgument(TOKEN.matcher(value).matches(), "%s is not a token: %s", what, value);
        return value;
    }

    /**
     * Returns {@code value} if a header field can carry it. What outsiders name may have any
     * characters.
     */
    static String checkName(String what, String value) {
        checkNotNull(value, "%s", what);
        checkArgument(FieldText.fits(value), "%s fits no header field: %s", what, value);
        checkArgument(
                Utf8.encodedLength(value) <= MAX_NAME_BYTES,
                "%s longer than %s bytes",
                what,
                MAX_NAME_BYTES);
        return value;
    }
}
