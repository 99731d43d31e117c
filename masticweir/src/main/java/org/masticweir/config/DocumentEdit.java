package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Strings;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What differs between two texts of the document: one stretch that takes the place of another.
 *
 * <p>A change mostly concerns one section, so this is far shorter than the document. Immutable.
 *
 * @param head count of characters kept from the start
 * @param tail count of characters kept from the end
 * @param middle what stands between them afterwards
 * @param digest SHA-256 of the text afterwards, in hexadecimal
 */
public record DocumentEdit(int head, int tail, String middle, String digest) {
    public DocumentEdit {
        checkArgument(head >= 0, "head %s below 0", head);
        checkArgument(tail >= 0, "tail %s below 0", tail);
        checkNotNull(middle, "middle");
        checkNotNull(digest, "digest");
    }

    /** Returns the edit that makes {@code after} of {@code before}. */
    public static DocumentEdit between(String before, String after) {
        int head = Strings.commonPrefix(before, after).length();
        String beforeRest = before.substring(head);
        String afterRest = after.substring(head);
        int tail = Strings.commonSuffix(beforeRest, afterRest).length();
        String middle = afterRest.substring(0, afterRest.length() - tail);
        return new DocumentEdit(head, tail, middle, digestOf(after));
    }

    /**
     * Returns the text after the edit; empty if {@code before} is not the text it was made for.
     *
     * <p>Failure guarded against: two routers hold different texts under one revision. The digest
     * shows it, and the router asks for the whole document instead of running a text of its own.
     */
    public Optional<String> applyTo(String before) {
        if ((long) head + tail > before.length()) {
            return Optional.empty();
        }
        String after =
                before.substring(0, head) + middle + before.substring(before.length() - tail);
        return Optional.of(after).filter(text -> digestOf(text).equals(digest));
    }

    private static String digestOf(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
