package org.masticweir.operators;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.List;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.CrashRecord;
import org.masticweir.quarantine.Loss;
import org.masticweir.quarantine.QuarantinedContent;

/**
 * The answer to a query for the quarantine; immutable.
 *
 * @param contents the latest change first
 * @param omitted number of contents that are not listed
 */
record QuarantineList(ImmutableList<Entry> contents, int omitted) {
    /** Bounds the answer, which is written on the traffic thread. */
    static final int MAX_CONTENTS = 500;

    /** Whether an id names a whole content or a part of prompts. */
    enum Kind {
        CONTENT,
        PART
    }

    /** What becomes of requests with the content. */
    enum State {
        /** One request at a time is sent. */
        SUSPECT,
        /** No request is sent. */
        QUARANTINED,
        /** All requests are sent: a request ran, or an operator released it. */
        CLEARED
    }

    /**
     * One content or part.
     *
     * @param heldMs time until it may be tried again, in ms
     * @param ends number of ends of servers that count
     * @param servers servers whose ends count
     */
    record Entry(
            String id,
            Kind kind,
            State state,
            long heldMs,
            int ends,
            ImmutableList<String> servers) {}

    static QuarantineList of(List<QuarantinedContent> contents) {
        return new QuarantineList(
                Lists.reverse(contents).stream()
                        .limit(MAX_CONTENTS)
                        .map(QuarantineList::entry)
                        .collect(ImmutableList.toImmutableList()),
                Math.max(0, contents.size() - MAX_CONTENTS));
    }

    private static Entry entry(QuarantinedContent content) {
        CrashRecord record = content.record();
        return new Entry(
                record.content().value(),
                record.isPart() ? Kind.PART : Kind.CONTENT,
                state(content),
                content.remainingQuarantineMs(),
                record.crashCount(),
                record.countedLosses().stream()
                        .map(Loss::life)
                        .map(life -> life.id().value())
                        .collect(ImmutableList.toImmutableList()));
    }

    private static State state(QuarantinedContent content) {
        if (content.remainingQuarantineMs() > 0) {
            return State.QUARANTINED;
        }
        return content.record().crashCount() > 0 ? State.SUSPECT : State.CLEARED;
    }

    /** The body of a release. */
    record Release(String id) {
        ContentId content() {
            if (id == null) {
                throw new IllegalArgumentException("the body has no id");
            }
            return ContentId.of(id);
        }
    }

    /** The answer to a release. */
    record Released(String id, State state) {}
}
