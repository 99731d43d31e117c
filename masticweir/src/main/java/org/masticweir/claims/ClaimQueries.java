package org.masticweir.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.store.ReadOutcome;

/** Views of claims that change nothing; thread-safe, never blocks. */
public interface ClaimQueries {
    /** Reads the claim on a request as the table has it now. */
    CompletableFuture<ReadOutcome<Optional<ClaimRow>>> find(TeamId team, RequestId request);
}
