package org.masticweir.id;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import java.nio.charset.StandardCharsets;

/** Tells which text a header field can carry unchanged; stateless. */
public final class FieldText {
    private static final CharMatcher CONTROL =
            CharMatcher.inRange('\0', '\u001f')
                    .or(CharMatcher.is('\u007f'))
                    .and(CharMatcher.isNot('\t'));
    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

    private FieldText() {}

    /**
     * Returns whether a header field can carry {@code text} in UTF-8. It can't if the text is
     * empty, begins or ends with a blank, has a control character other than a tab, or is not valid
     * Unicode.
     */
    public static boolean fits(String text) {
        checkNotNull(text, "text");
        return !text.isEmpty()
                && !BLANK.matches(text.charAt(0))
                && !BLANK.matches(text.charAt(text.length() - 1))
                && CONTROL.matchesNoneOf(text)
                && StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }
}
