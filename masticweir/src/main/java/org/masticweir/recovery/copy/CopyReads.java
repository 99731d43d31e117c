package org.masticweir.recovery.copy;

import java.util.Optional;
import org.masticweir.id.RequestId;

/** The queries on a holder's copies; thread-safe, and none changes anything. */
public interface CopyReads {
    Optional<CopySummary> find(RequestId request);

    /** Returns the whole copy of {@code request}, with its age as of {@code nowMs}. */
    Optional<GenerationCopy> copy(RequestId request, long nowMs);

    int count();

    long bytes();
}
