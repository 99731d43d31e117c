package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What differs between two texts of the document: stretches of the one, and what stands between
 * them in the other.
 *
 * <p>A change mostly concerns a few sections, so this is far shorter than the document. Immutable.
 *
 * @param parts what the text afterwards consists of, in order
 * @param digest SHA-256 of the text afterwards, in hexadecimal
 */
public record DocumentEdit(ImmutableList<Part> parts, String digest) {
    /** Characters that a stretch must have to be named by its place; a place takes as many. */
    private static final int MIN_KEPT_CHARS = 16;

    public DocumentEdit {
        checkNotNull(parts, "parts");
        checkNotNull(digest, "digest");
    }

    /** One part of the text afterwards. */
    public sealed interface Part {
        /** The characters of the text before from {@code start} to {@code end}, exclusive. */
        record Kept(int start, int end) implements Part {
            public Kept {
                checkArgument(start >= 0, "start %s below 0", start);
                checkArgument(end >= start, "end %s before start %s", end, start);
            }
        }

        /** A text that the edit brings. */
        record Added(String text) implements Part {
            public Added {
                checkNotNull(text, "text");
            }
        }
    }

    /** Returns the edit that makes {@code after} of any text. */
    public static DocumentEdit whole(String after) {
        return new DocumentEdit(ImmutableList.of(new Part.Added(after)), digestOf(after));
    }

    /** Returns the edit that makes {@code after} of {@code before}. */
    public static DocumentEdit between(String before, String after) {
        int head = Strings.commonPrefix(before, after).length();
        int tail = Strings.commonSuffix(before.substring(head), after.substring(head)).length();
        int beforeEnd = before.length() - tail;
        Builder parts = new Builder(before);
        parts.keep(0, head);
        Map<String, Integer> places = places(before, head, beforeEnd);
        int at = head;
        while (at < after.length() - tail) {
            int end = pieceEnd(after, at, after.length() - tail);
            parts.add(after.substring(at, end), places);
            at = end;
        }
        parts.keep(beforeEnd, before.length());
        return new DocumentEdit(parts.build(), digestOf(after));
    }

    /**
     * Returns the text after the edit; empty if {@code before} is not the text it was made for.
     *
     * <p>Failure guarded against: two routers hold different texts under one revision. The digest
     * shows it, and the router asks for the whole document instead of running a text of its own.
     */
    public Optional<String> applyTo(String before) {
        StringBuilder after = new StringBuilder();
        for (Part part : parts) {
            if (part instanceof Part.Kept kept) {
                if (kept.end() > before.length()) {
                    return Optional.empty();
                }
                after.append(before, kept.start(), kept.end());
            } else if (part instanceof Part.Added added) {
                after.append(added.text());
            }
        }
        return Optional.of(after.toString()).filter(text -> digestOf(text).equals(digest));
    }

    /** Returns where each piece of {@code text} between {@code from} and {@code to} begins. */
    private static Map<String, Integer> places(String text, int from, int to) {
        Map<String, Integer> places = new HashMap<>();
        int at = from;
        while (at < to) {
            int end = pieceEnd(text, at, to);
            places.putIfAbsent(text.substring(at, end), at);
            at = end;
        }
        return places;
    }

    /** Pieces end after what closes an entry in JSON or a line in INI. */
    private static int pieceEnd(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c == '}' || c == ']' || c == '\n') {
                return i + 1;
            }
        }
        return to;
    }

    private static String digestOf(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Joins stretches and texts that follow each other. */
    private static final class Builder {
        private final String before;
        private final List<Part> parts = new ArrayList<>();
        private final StringBuilder added = new StringBuilder();
        private int start;
        private int end;

        Builder(String before) {
            this.before = before;
        }

        /** Adds a piece, by its place in the text before if it stands there. */
        void add(String piece, Map<String, Integer> places) {
            boolean follows = end > start && before.startsWith(piece, end);
            Integer place = follows ? Integer.valueOf(end) : places.get(piece);
            if (place == null) {
                add(piece);
            } else {
                keep(place, place + piece.length());
            }
        }

        void keep(int from, int to) {
            if (from == to) {
                return;
            }
            if (from != end || end == start) {
                endStretch();
                start = from;
            }
            end = to;
        }

        private void add(String text) {
            endStretch();
            added.append(text);
        }

        /** Ends the stretch that grows; one that is shorter than its place is written out. */
        private void endStretch() {
            if (end - start >= MIN_KEPT_CHARS) {
                endText();
                parts.add(new Part.Kept(start, end));
            } else {
                added.append(before, start, end);
            }
            start = 0;
            end = 0;
        }

        private void endText() {
            if (added.length() > 0) {
                parts.add(new Part.Added(added.toString()));
                added.setLength(0);
            }
        }

        ImmutableList<Part> build() {
            endStretch();
            endText();
            return ImmutableList.copyOf(parts);
        }
    }
}
