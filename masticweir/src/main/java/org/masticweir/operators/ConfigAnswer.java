package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The document in force; immutable.
 *
 * @param changeId the change that brought it
 * @param document INI text
 */
public record ConfigAnswer(long revision, String changeId, String document) {
    public ConfigAnswer {
        checkNotNull(changeId, "changeId");
        checkNotNull(document, "document");
    }
}
