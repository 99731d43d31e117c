package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a router knows of a content or part under which servers ended; immutable.
 *
 * @param remainingQuarantineMs time until the content may be tried again, in ms; 0 if it may be
 *     sent
 */
public record QuarantinedContent(CrashRecord record, long remainingQuarantineMs) {
    public QuarantinedContent {
        checkNotNull(record, "record");
    }
}
