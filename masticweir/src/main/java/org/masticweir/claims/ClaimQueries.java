package org.masticweir.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.store.ReadOutcome;

/** Read-only queries of claims; thread-safe, never blocks. */
public interface ClaimQueries {
    /** Reads the current claim of a request from the table. */
    CompletableFuture<ReadOutcome<Optional<ClaimRow>>> find(TeamId team, RequestId request);
}
