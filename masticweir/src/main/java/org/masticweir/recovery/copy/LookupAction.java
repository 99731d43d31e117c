package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RouterId;

/** What the adapter of one lookup is to do next, in the order given. */
public sealed interface LookupAction {
    /** Ask {@code router} what it knows of the request, as owner or holder. */
    record Find(RouterId router) implements LookupAction {}

    /** Ask the owner to stream the answer here. */
    record Subscribe(CopyEpoch epoch) implements LookupAction {}

    /** Ask the holder to make this router the owner, if the request still stands at the epoch. */
    record TakeOver(RouterId holder, CopyEpoch expected) implements LookupAction {}

    /** Ask another candidate to refuse all epochs below the one taken. */
    record Fence(RouterId candidate, CopyEpoch epoch) implements LookupAction {}

    /** The owner streams the answer. The lookup is over. */
    record Following(RouterId owner, RequestSpec spec, GenerationSpec generation)
            implements LookupAction {}

    /** This router owns the request and goes on from {@code copy}. The lookup is over. */
    record TakenOver(GenerationCopy copy) implements LookupAction {
        public TakenOver {
            checkNotNull(copy, "copy");
        }
    }

    /**
     * No copy that can be gone on from was found. The lookup is over.
     *
     * @param allAnswered whether every candidate answered; else one that is cut off may know it
     */
    record NotFound(boolean allAnswered) implements LookupAction {}

    /** Feed a {@code Tick} at {@code atMs}; replaces an earlier wake-up. */
    record WakeAt(long atMs) implements LookupAction {}
}
