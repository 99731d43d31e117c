package org.masticweir.peer;

import java.util.Optional;

/**
 * One frame as it was read.
 *
 * @param correlation links a reply to its ask; 0 for a one-way message
 * @param message the message; empty when this version does not know its type
 */
record Frame(int type, long correlation, Optional<PeerMessage> message) {
    static final long ONE_WAY = 0;
}
