package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/** What a holder answers to a command about one copy. */
public sealed interface HolderAnswer {
    /** The copy was opened; the asker owns the request. */
    record Granted() implements HolderAnswer {}

    /** The request has another owner. */
    record HeldByOther(CopyEpoch epoch) implements HolderAnswer {
        public HeldByOther {
            checkNotNull(epoch, "epoch");
        }
    }

    /** The copy holds all tokens of {@code generation} below {@code upTo}. */
    record Acked(int generation, int upTo) implements HolderAnswer {}

    /** The asker's epoch was replaced by {@code current}: the asker owns the request no more. */
    record StaleEpoch(CopyEpoch current) implements HolderAnswer {
        public StaleEpoch {
            checkNotNull(current, "current");
        }
    }

    /** The copy is not here, or not up to where the command goes on. */
    record Missing() implements HolderAnswer {}

    /** No room for another copy. */
    record Full() implements HolderAnswer {}

    /**
     * The request now stands at {@code epoch} here.
     *
     * @param copy what is held of it; empty when only the epoch is known here
     */
    record Moved(CopyEpoch epoch, Optional<GenerationCopy> copy) implements HolderAnswer {
        public Moved {
            checkNotNull(epoch, "epoch");
            checkNotNull(copy, "copy");
        }
    }
}
