package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerMessage;

/** The messages about copies and keys; the router that sends one is known from its link. */
sealed interface CopyMessage extends PeerMessage {
    /** Opens or replaces the sender's copy; answered by {@link HolderReply}. */
    record WholeCopy(boolean opening, GenerationCopy copy) implements CopyMessage {
        public WholeCopy {
            checkNotNull(copy, "copy");
        }
    }

    /** Appends of many requests of the sender; answered by {@link AppendReplies}. */
    record AppendBatch(RouterId owner, ImmutableList<CopyCommand.Append> appends)
            implements CopyMessage {
        public AppendBatch {
            checkNotNull(owner, "owner");
            checkNotNull(appends, "appends");
        }

        int tokens() {
            return appends.stream().mapToInt(a -> a.tokens().length()).sum();
        }
    }

    /** The answers to a batch, in its order. */
    record AppendReplies(ImmutableList<HolderAnswer> answers) implements CopyMessage {
        public AppendReplies {
            checkNotNull(answers, "answers");
        }
    }

    /** The answer about one copy. */
    record HolderReply(HolderAnswer answer) implements CopyMessage {
        public HolderReply {
            checkNotNull(answer, "answer");
        }
    }

    /** Asks what is known of a request; answered by {@link FoundCopy}. */
    record FindCopy(RequestId request) implements CopyMessage {
        public FindCopy {
            checkNotNull(request, "request");
        }
    }

    /** What the router asked knows of a request, as its owner or as a holder. */
    record FoundCopy(Optional<CopySummary> summary) implements CopyMessage {
        public FoundCopy {
            checkNotNull(summary, "summary");
        }
    }

    /** Makes the sender the owner, if the request stands at {@code expected}. */
    record TakeOverCopy(RequestId request, CopyEpoch expected) implements CopyMessage {
        public TakeOverCopy {
            checkNotNull(request, "request");
            checkNotNull(expected, "expected");
        }
    }

    /** Refuses all epochs below {@code epoch} from now on. */
    record FenceCopy(RequestId request, CopyEpoch epoch) implements CopyMessage {
        public FenceCopy {
            checkNotNull(request, "request");
            checkNotNull(epoch, "epoch");
        }
    }

    /** Asks the owner whether it lives and owns the request; answered by {@link Subscribed}. */
    record Subscribe(RequestId request) implements CopyMessage {
        public Subscribe {
            checkNotNull(request, "request");
        }
    }

    /** The owner's description of the request. */
    record Subscribed(RequestSpec spec, GenerationSpec generation) implements CopyMessage {
        public Subscribed {
            checkNotNull(spec, "spec");
            checkNotNull(generation, "generation");
        }
    }

    /**
     * Asks for released tokens from an index on; answered by {@link SubscribedTokens}.
     *
     * <p>The owner holds the answer until there is news or a bound has passed. The reader asks
     * again from where it stands, so a lost link leaves no gap, a slow reader slows only itself,
     * and an owner without news still shows that it lives.
     */
    record ReadTokens(RequestId request, int generation, int from) implements CopyMessage {
        public ReadTokens {
            checkNotNull(request, "request");
        }
    }

    /**
     * Released tokens, none when there was no news.
     *
     * @param end how the answer ended, when no token follows these
     */
    record SubscribedTokens(
            int generation, int from, ImmutableIntArray tokens, Optional<AnswerEnd> end)
            implements CopyMessage {
        public SubscribedTokens {
            checkNotNull(tokens, "tokens");
            checkNotNull(end, "end");
        }

        static SubscribedTokens nothingNew(int generation, int from) {
            return new SubscribedTokens(generation, from, ImmutableIntArray.of(), Optional.empty());
        }
    }

    /** Forgets the sender's copy, of which nothing ran; one-way. */
    record WithdrawCopy(RequestId request, CopyEpoch epoch) implements CopyMessage {
        public WithdrawCopy {
            checkNotNull(request, "request");
            checkNotNull(epoch, "epoch");
        }
    }

    /**
     * Registers {@code asking} as the owner of a key that has none; answered by {@link KeyOwner}.
     *
     * @param passedOn whether a router of the home's domain sent it on
     */
    record RegisterKey(RequestId request, RouterId asking, boolean passedOn)
            implements CopyMessage {
        public RegisterKey {
            checkNotNull(request, "request");
            checkNotNull(asking, "asking");
        }
    }

    /** Who has the key. */
    record KeyOwner(RouterId owner) implements CopyMessage {
        public KeyOwner {
            checkNotNull(owner, "owner");
        }
    }

    /** Forgets that {@code owner} has the key; one-way. */
    record ReleaseKey(RequestId request, RouterId owner, boolean passedOn) implements CopyMessage {
        public ReleaseKey {
            checkNotNull(request, "request");
            checkNotNull(owner, "owner");
        }
    }
}
