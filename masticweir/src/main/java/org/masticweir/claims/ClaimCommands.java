package org.masticweir.claims;

import java.util.concurrent.CompletableFuture;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/** Changes to claims; thread-safe, never blocks. */
public interface ClaimCommands {
    /**
     * Claims a request; call this method as late as possible before the first send.
     *
     * @param deadlineMs time on this router's monotonic clock at which the caller gives up
     * @return a future that completes on the control thread, never exceptionally
     */
    CompletableFuture<ClaimDecision> claim(TeamId team, RequestId request, long deadlineMs);

    /**
     * Reports that no attempt was sent or each was refused before admission, and that none will
     * follow.
     */
    void reportNotSent(ClaimPermit permit);

    /**
     * Reports the end of a request that was sent; the verdict and the result are stored lazily for
     * later submissions.
     */
    void reportEnded(ClaimPermit permit, Verdict verdict, String result);
}
