package org.masticweir.permits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.masticweir.id.RouterId;

/**
 * Grants room at the brittle servers whose issuer is this router. Thread-safe: each call holds one
 * lock for a short time.
 *
 * <p>A brittle server falls over if it has to reject too many requests in a second. Rejections come
 * from routers that fill the same free slot at the same moment, so all routers together get no more
 * room than the server has slots. A server may have less room than that. A rejection therefore
 * lowers the limit to what the server held then, and the limit rises slowly. After half of the
 * rejections that the server bears, nothing is granted until a second has passed.
 */
final class RoomIssuer {
    /** Maximum number of servers; the least recently used one is evicted first. */
    private static final int MAX_SERVERS = 4_096;

    private static final long SECOND_MS = 1_000;

    /**
     * Time after its last message for which a router's count is believed, in ms: longer than most
     * requests, and an ended router must not hold its room for long.
     */
    private static final long COUNT_VALIDITY_MS = 3_000;

    /** Time after a change of issuers in which only half of the room is granted, in ms. */
    private static final long SETTLING_MS = 500;

    /** Part of the rejections that a server bears after which nothing is granted. */
    private static final double REJECTION_FRACTION = 0.5;

    /** Time without rejections after which the limit rises by one, in ms. */
    private static final long RISE_MS = 10_000;

    /** Requests for each slot that becomes free; enough for the use of all slots. */
    private static final double REQUESTS_PER_SLOT = 4;

    /** Shortest time after which a denied router asks again, in ms. */
    private static final long MIN_RETRY_AFTER_MS = 5;

    /**
     * Time between two requests of all routers while the duration of requests is unknown, in ms.
     */
    private static final long FIRST_RETRY_AFTER_MS = 5;

    private final Map<PermitKey, Room> rooms =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<PermitKey, Room> eldest) {
                    return size() > MAX_SERVERS;
                }
            };

    /** Use of one server, as its routers report it. */
    private static final class Room {
        private final Map<RouterId, HeldCount> heldCounts = new HashMap<>();
        private final Deque<Long> rejectionsMs = new ArrayDeque<>();
        private int limit = Integer.MAX_VALUE;
        private long limitChangedMs;
        private final Deque<Long> releasesMs = new ArrayDeque<>();

        /** Time until which a slot is left to denied requests, by urgency. */
        private final NavigableMap<Integer, Long> reservedUntilMs = new TreeMap<>();

        void recordCount(RouterId router, int count, long nowMs) {
            heldCounts.values().removeIf(c -> nowMs - c.reportedMs > COUNT_VALIDITY_MS);
            heldCounts.put(router, new HeldCount(count, nowMs));
        }

        int total() {
            return heldCounts.values().stream().mapToInt(HeldCount::count).sum();
        }

        /** Returns how long nothing is granted, in ms; 0 if something may be granted now. */
        long blockMs(double maxRejections, long nowMs) {
            removeBefore(rejectionsMs, nowMs - SECOND_MS);
            int borne = (int) Math.max(1, maxRejections * REJECTION_FRACTION);
            return rejectionsMs.size() < borne
                    ? 0
                    : Math.max(1, SECOND_MS - (nowMs - rejectionsMs.getLast()));
        }

        void recordRejection(long nowMs) {
            rejectionsMs.addLast(nowMs);
            int held = Math.max(total(), limit / 2);
            limit = Math.max(1, Math.min(limit - 1, held));
            limitChangedMs = nowMs;
        }

        int limit(int slots, double fraction, long nowMs) {
            while (limit < slots && nowMs - limitChangedMs >= RISE_MS) {
                limit++;
                limitChangedMs += RISE_MS;
            }
            limit = Math.min(limit, slots);
            return (int) Math.max(1, limit * fraction);
        }

        boolean isMoreUrgentWaiting(int urgency, long nowMs) {
            return reservedUntilMs.headMap(urgency).values().stream().anyMatch(t -> t > nowMs);
        }

        /** Returns the interval at which each router asks while no slot is free, in ms. */
        long requestIntervalMs(int slots, long nowMs) {
            removeBefore(releasesMs, nowMs - SECOND_MS);
            int routers = heldCounts.size();
            // Before each slot was free once, the duration of requests is unknown.
            long intervalMs =
                    releasesMs.size() < slots
                            ? FIRST_RETRY_AFTER_MS * routers
                            : (long) (routers * SECOND_MS / REQUESTS_PER_SLOT / releasesMs.size());
            return Math.max(MIN_RETRY_AFTER_MS, Math.min(SECOND_MS, intervalMs));
        }
    }

    /** Requests for which a router holds room. */
    private record HeldCount(int count, long reportedMs) {}

    private static void removeBefore(Deque<Long> times, long ms) {
        while (!times.isEmpty() && times.getFirst() <= ms) {
            times.removeFirst();
        }
    }

    /**
     * Decides on room for one request.
     *
     * @param fraction part of the room that this router and its linked routers may use
     * @param issuerSinceMs the latest time at which the issuer may have changed; the counts that
     *     another issuer knew are unknown at first
     */
    synchronized PermitDecision decide(
            RouterId requester,
            RoomRequest request,
            double fraction,
            long issuerSinceMs,
            long nowMs) {
        Room room = rooms.computeIfAbsent(request.key(), k -> new Room());
        room.recordCount(requester, request.heldCount(), nowMs);
        long blockMs = room.blockMs(request.maxRejections(), nowMs);
        if (blockMs > 0) {
            return PermitDecision.denied(blockMs);
        }
        boolean isSettling = nowMs - issuerSinceMs < SETTLING_MS;
        int limit = room.limit(request.slots(), isSettling ? fraction / 2 : fraction, nowMs);
        int left = room.isMoreUrgentWaiting(request.urgency(), nowMs) ? 1 : 0;
        if (room.total() + left >= limit) {
            long retryAfterMs = room.requestIntervalMs(request.slots(), nowMs);
            room.reservedUntilMs.put(request.urgency(), nowMs + 2 * retryAfterMs);
            return PermitDecision.denied(retryAfterMs);
        }
        room.recordCount(requester, request.heldCount() + 1, nowMs);
        return PermitDecision.ofGrant();
    }

    /** Records that a request has ended. */
    synchronized void recordEnd(RouterId router, RoomReport report, long nowMs) {
        Room room = rooms.computeIfAbsent(report.key(), k -> new Room());
        room.recordCount(router, report.heldCount(), nowMs);
        room.releasesMs.addLast(nowMs);
        removeBefore(room.releasesMs, nowMs - SECOND_MS);
        if (report.isRejected()) {
            room.recordRejection(nowMs);
        }
    }
}
