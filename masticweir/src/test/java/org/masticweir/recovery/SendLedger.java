package org.masticweir.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticweir.error.Verdict;
import org.masticweir.id.AttemptId;

/** What was sent for one request, and of which sends the machine was told that none ran. */
final class SendLedger {
    private final Map<AttemptId, ImmutableList<Integer>> prefixes = new LinkedHashMap<>();
    private final Set<AttemptId> cleared = new HashSet<>();
    private final boolean idempotent;
    private final boolean sentByOther;

    SendLedger(boolean idempotent, boolean sentByOther) {
        this.idempotent = idempotent;
        this.sentByOther = sentByOther;
    }

    void send(AttemptId attempt, List<Integer> prefix) {
        assertTrue(idempotent || !mayHaveRun(), "sent again after it may have run: " + attempt);
        assertTrue(!prefixes.containsKey(attempt), "attempt sent twice: " + attempt);
        prefixes.put(attempt, ImmutableList.copyOf(prefix));
    }

    boolean isUnderWay(AttemptId attempt) {
        return prefixes.containsKey(attempt) && !cleared.contains(attempt);
    }

    List<Integer> prefixOf(AttemptId attempt) {
        return prefixes.get(attempt);
    }

    void learn(RecoveryEvent event) {
        if (event instanceof RecoveryEvent.Refused refused) {
            cleared.add(refused.attempt());
        } else if (event instanceof RecoveryEvent.LinkLost lost && !lost.sent()) {
            cleared.add(lost.attempt());
        }
    }

    /** Fails if the caller was told more than is known. */
    void checkVerdict(Verdict told, int admissions) {
        if (told == Verdict.NOT_RUN) {
            assertEquals(0, admissions, "told not run, yet it ran");
            assertTrue(!mayHaveRun(), "told not run while an attempt may yet arrive");
        }
    }

    private boolean mayHaveRun() {
        return sentByOther || !cleared.containsAll(prefixes.keySet());
    }
}
