package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A document that an operator wants in force; immutable.
 *
 * @param baseRevision the revision it was made from, 0 for the first document
 * @param changeId names the change, so that a lost answer can be settled by asking again
 * @param document INI text
 * @param dryRun whether to check it only
 */
public record ConfigProposal(
        long baseRevision, String changeId, String author, String document, boolean dryRun) {
    private static final int MAX_NAME_CHARS = 128;

    public ConfigProposal {
        checkArgument(baseRevision >= 0, "base_revision %s below 0", baseRevision);
        checkName("change_id", changeId);
        checkName("author", author);
        checkNotNull(document, "document");
    }

    private static void checkName(String what, String name) {
        checkNotNull(name, "%s", what);
        checkArgument(
                !name.isEmpty() && name.length() <= MAX_NAME_CHARS,
                "%s must have 1 to %s characters",
                what,
                MAX_NAME_CHARS);
        checkArgument(
                name.chars().noneMatch(Character::isISOControl), "%s has control characters", what);
    }
}
