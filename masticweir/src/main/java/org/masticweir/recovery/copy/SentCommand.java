package org.masticweir.recovery.copy;

import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RouterId;

/**
 * The command that waits for its holder's answer, and what the holder knows once it has answered;
 * immutable.
 */
record SentCommand(
        RouterId holder,
        long number,
        Optional<Placement> placement,
        Optional<AnswerEnd> end,
        long atMs) {
    boolean isAnsweredBy(CopyEvent.Answered answered) {
        return answered.holder().equals(holder) && answered.number() == number;
    }

    SentCommand at(long laterMs) {
        return new SentCommand(holder, number, placement, end, laterMs);
    }
}
