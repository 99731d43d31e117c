package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.generation.AnswerLog;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RouterId;

/**
 * A request that this router owns, as other routers may read it.
 *
 * @param openedAt the router asked to hold the first copy, until the request is certain to run here
 */
public record OwnedAnswer(
        CopyEpoch epoch,
        RequestSpec spec,
        GenerationSpec generation,
        AnswerLog log,
        Optional<RouterId> openedAt) {
    public OwnedAnswer {
        checkNotNull(epoch, "epoch");
        checkNotNull(spec, "spec");
        checkNotNull(generation, "generation");
        checkNotNull(log, "log");
        checkNotNull(openedAt, "openedAt");
    }

    /** Creates the answer of a request that runs here. */
    public OwnedAnswer(
            CopyEpoch epoch, RequestSpec spec, GenerationSpec generation, AnswerLog log) {
        this(epoch, spec, generation, log, Optional.empty());
    }

    /**
     * Tells whether this router leaves the request to {@code other}, which opens it too.
     *
     * <p>Two routers that got one key at the same moment, and are each other's first holder, would
     * refuse each other and leave the request with nobody. The higher epoch goes first.
     */
    boolean yieldsTo(CopyEpoch other) {
        return openedAt.filter(other.owner()::equals).isPresent() && epoch.isBelow(other);
    }
}
