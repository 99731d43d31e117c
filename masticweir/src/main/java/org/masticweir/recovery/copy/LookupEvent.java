package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RouterId;

/** What happened to one lookup, as its adapter saw it. */
public sealed interface LookupEvent {
    /** {@code from} said what it knows of the request; empty when nothing. */
    record FindAnswered(RouterId from, Optional<CopySummary> summary) implements LookupEvent {
        public FindAnswered {
            checkNotNull(from, "from");
            checkNotNull(summary, "summary");
        }
    }

    /** {@code from} could not be asked, or its link broke before it answered. */
    record FindFailed(RouterId from) implements LookupEvent {
        public FindFailed {
            checkNotNull(from, "from");
        }
    }

    /** {@code owner} streams the answer to this router from now on. */
    record Subscribed(RouterId owner, RequestSpec spec, GenerationSpec generation)
            implements LookupEvent {
        public Subscribed {
            checkNotNull(owner, "owner");
            checkNotNull(spec, "spec");
            checkNotNull(generation, "generation");
        }
    }

    /** {@code owner} could not be reached, or does not own the request. */
    record SubscribeFailed(RouterId owner) implements LookupEvent {
        public SubscribeFailed {
            checkNotNull(owner, "owner");
        }
    }

    /** {@code from} answered a take-over or a fence. */
    record HolderAnswered(RouterId from, HolderAnswer answer) implements LookupEvent {
        public HolderAnswered {
            checkNotNull(from, "from");
            checkNotNull(answer, "answer");
        }
    }

    /** {@code from} gave no answer to a take-over or a fence. */
    record HolderFailed(RouterId from) implements LookupEvent {
        public HolderFailed {
            checkNotNull(from, "from");
        }
    }

    /** Time passed. */
    record Tick() implements LookupEvent {}
}
