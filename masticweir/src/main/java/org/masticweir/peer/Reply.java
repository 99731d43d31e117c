package org.masticweir.peer;

import org.masticweir.error.MasticweirException;

/**
 * Answers one ask, once, from any thread; answers to a one-way message go nowhere.
 *
 * <p>Both methods return whether the answer was queued: not when the link is gone, its queue is
 * full, or the ask was answered before.
 */
public interface Reply {
    boolean send(PeerMessage message);

    /** Makes the ask fail with the code, verdict and message of {@code error}. */
    boolean fail(MasticweirException error);
}
