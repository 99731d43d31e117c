package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The last few texts that came in force here, from which edits for other routers are made.
 *
 * <p>Routers hear of a change within a second, so nearly all of them ask from one of these. Not
 * thread-safe: owned by the control thread.
 */
public final class RecentTexts {
    /** Enough for changes in quick succession; some 2 MB at 4,500 teams. */
    private static final int KEPT = 4;

    private final Deque<Version> versions = new ArrayDeque<>();

    /** Edits that make the latest text, by the revision that they are made for. */
    private final Map<Long, DocumentEdit> edits = new HashMap<>();

    /** A text and its revision. */
    private record Version(long revision, String text) {}

    /** Keeps a text that came in force, of a higher revision than those before. */
    public void add(long revision, String text) {
        versions.addLast(new Version(revision, checkNotNull(text, "text")));
        edits.clear();
        if (versions.size() > KEPT) {
            versions.removeFirst();
        }
    }

    /** Returns the edit that makes the latest text of {@code known}; empty if that is not kept. */
    public Optional<DocumentEdit> editOf(long known) {
        return versions.stream()
                .filter(version -> version.revision() == known)
                .findFirst()
                .map(this::edit);
    }

    /** All peers ask within a moment, and an edit reads both texts whole. */
    private DocumentEdit edit(Version before) {
        return edits.computeIfAbsent(
                before.revision(),
                r -> DocumentEdit.between(before.text(), versions.getLast().text()));
    }
}
