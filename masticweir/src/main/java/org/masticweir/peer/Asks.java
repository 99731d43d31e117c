package org.masticweir.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.masticweir.error.MasticweirException;

/** The asks to one peer that wait for a reply; thread-safe. */
final class Asks {
    private final Map<Long, CompletableFuture<PeerMessage>> waiting = new HashMap<>();

    synchronized void add(long correlation, CompletableFuture<PeerMessage> answer) {
        waiting.put(correlation, answer);
    }

    /** Completes an ask; one that timed out before is gone, and its late reply is dropped. */
    void complete(long correlation, PeerMessage reply) {
        CompletableFuture<PeerMessage> answer = remove(correlation);
        if (reply instanceof Failure failure) {
            answer.completeExceptionally(failure.toException());
        } else {
            answer.complete(reply);
        }
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty();
    }

    void fail(long correlation, MasticweirException e) {
        remove(correlation).completeExceptionally(e);
    }

    void failAll(MasticweirException e) {
        List<CompletableFuture<PeerMessage>> all;
        synchronized (this) {
            all = List.copyOf(waiting.values());
            waiting.clear();
        }
        all.forEach(a -> a.completeExceptionally(e));
    }

    private synchronized CompletableFuture<PeerMessage> remove(long correlation) {
        CompletableFuture<PeerMessage> answer = waiting.remove(correlation);
        return answer == null ? new CompletableFuture<>() : answer;
    }
}
