package org.masticweir.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The configuration's rows in memory, with the checks that a real transaction makes. */
final class FakeConfigTable {
    private final Map<Long, HistoryEntry> history = new HashMap<>();
    private Optional<StoredRevision> current = Optional.empty();
    private long rowVersion;

    WriteOutcome write(ConfigAction.WriteRow write) {
        StoredRevision row = write.row();
        if (write.rowVersion() != rowVersion || history.containsKey(row.revision())) {
            return WriteOutcome.CONFLICT;
        }
        current = Optional.of(row);
        history.put(row.revision(), row.entry());
        rowVersion += 3;
        return WriteOutcome.DONE;
    }

    TableView view(long successor) {
        return new TableView(current, rowVersion, Optional.ofNullable(history.get(successor)));
    }

    /** Carries out reads and writes, and those that follow from them; returns the other actions. */
    List<ConfigAction> carryOut(ConfigState state, List<ConfigAction> actions, long nowMs) {
        List<ConfigAction> rest = new ArrayList<>();
        for (ConfigAction action : actions) {
            if (action instanceof ConfigAction.ReadRow read) {
                TableView view = view(read.successor());
                rest.addAll(carryOut(state, state.read(read.changeId(), view, nowMs), nowMs));
            } else if (action instanceof ConfigAction.WriteRow write) {
                WriteOutcome outcome = write(write);
                rest.addAll(carryOut(state, state.written(write.row(), outcome, nowMs), nowMs));
            } else {
                rest.add(action);
            }
        }
        return rest;
    }
}
