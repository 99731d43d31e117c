/**
 * Keeps a copy of each generation on a peer router, so that the answer survives its router's loss.
 *
 * <p>The owner's side ({@code CopySender}), the holder's side ({@code CopyStore}) and the search
 * for a request owned elsewhere ({@code CopyLookup}) are pure: events and the time come in, actions
 * go out. The copy's epoch is the fence between owners.
 *
 * <p>What the fence covers: a token is released only after a holder took it under the owner's
 * epoch, and a take-over replaces the epoch at every candidate holder that can be reached, so an
 * owner that was paused releases nothing that the copy taken over lacks. What it cannot cover: an
 * owner that reaches no holder at all goes on unprotected after a bound, and an owner and its new
 * holder that are together cut off from the old holder and the new owner go on until the partition
 * heals. Both serve the same generation, and the higher epoch ends the other as soon as they meet.
 */
package org.masticweir.recovery.copy;
