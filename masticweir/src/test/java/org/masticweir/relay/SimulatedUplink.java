package org.masticweir.relay;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import org.masticweir.id.RouterId;
import org.masticweir.time.ManualScheduler;

/**
 * Simulates the outgoing link of one router with limited bandwidth, which its peers share in turn.
 *
 * <p>Connections that share a link slow each other down, so many long messages sent at the same
 * moment all arrive late.
 */
final class SimulatedUplink {
    private static final int CHUNK_BYTES = 16 << 10;

    private final ManualScheduler scheduler;
    private final double bytesPerMs;
    private final Map<RouterId, Queue<Transfer>> queues = new LinkedHashMap<>();
    private double freeAtMs;
    private boolean isSending;
    private long sentBytes;

    SimulatedUplink(ManualScheduler scheduler, double bytesPerMs) {
        this.scheduler = scheduler;
        this.bytesPerMs = bytesPerMs;
    }

    /** Returns the total length of the messages sent so far, in bytes. */
    long sentBytes() {
        return sentBytes;
    }

    /** A message in transit. */
    private static final class Transfer {
        private final Runnable arrival;
        private long remainingBytes;

        Transfer(long bytes, Runnable arrival) {
            this.remainingBytes = bytes;
            this.arrival = arrival;
        }
    }

    /** Sends {@code bytes} to {@code peer} and then runs {@code arrival}. */
    void send(RouterId peer, long bytes, Runnable arrival) {
        sentBytes += bytes;
        queues.computeIfAbsent(peer, p -> new ArrayDeque<>()).add(new Transfer(bytes, arrival));
        if (!isSending) {
            isSending = true;
            freeAtMs = Math.max(freeAtMs, scheduler.clock().nowMs());
            sendChunk();
        }
    }

    private void sendChunk() {
        RouterId peer = queues.keySet().iterator().next();
        Queue<Transfer> queue = queues.remove(peer);
        Transfer first = queue.peek();
        long chunk = Math.min(first.remainingBytes, CHUNK_BYTES);
        first.remainingBytes -= chunk;
        freeAtMs += chunk / bytesPerMs;
        if (first.remainingBytes == 0) {
            queue.remove();
        }
        if (!queue.isEmpty()) {
            queues.put(peer, queue);
        }
        scheduler.at((long) Math.ceil(freeAtMs), () -> sent(first));
    }

    private void sent(Transfer transfer) {
        if (transfer.remainingBytes == 0) {
            transfer.arrival.run();
        }
        isSending = !queues.isEmpty();
        if (isSending) {
            sendChunk();
        }
    }
}
