package org.masticweir.operators;

import java.util.concurrent.CompletableFuture;

/** What operators can change; implementations are thread-safe and do not block. */
public interface OperatorCommands {
    /**
     * Proposes a document to follow the revision that it is based on.
     *
     * <p>The future fails with code {@code CONFLICT}, and a message that names the other change,
     * when another change was accepted on that base; and with {@code SETTINGS_INVALID} when the
     * document does not hold up.
     */
    CompletableFuture<ProposalAnswer> propose(ConfigProposal proposal);

    /** Starts a graceful shutdown; a second call changes nothing. */
    void drain();
}
