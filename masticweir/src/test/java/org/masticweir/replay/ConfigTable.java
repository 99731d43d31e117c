package org.masticweir.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.config.ConfigAction;
import org.masticweir.config.HistoryEntry;
import org.masticweir.config.StoredRevision;
import org.masticweir.config.TableView;
import org.masticweir.config.WriteOutcome;

/** The configuration's rows in memory, with the checks that the platform's transaction makes. */
final class ConfigTable {
    private final Map<Long, HistoryEntry> history = new HashMap<>();
    private Optional<StoredRevision> current = Optional.empty();
    private long rowVersion;

    Optional<StoredRevision> current() {
        return current;
    }

    WriteOutcome write(ConfigAction.WriteRow write) {
        StoredRevision row = write.row();
        if (write.rowVersion() != rowVersion || history.containsKey(row.revision())) {
            return WriteOutcome.CONFLICT;
        }
        current = Optional.of(row);
        history.put(row.revision(), row.entry());
        rowVersion++;
        return WriteOutcome.DONE;
    }

    TableView view(long successor) {
        return new TableView(current, rowVersion, Optional.ofNullable(history.get(successor)));
    }
}
