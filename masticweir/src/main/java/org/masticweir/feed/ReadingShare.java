package org.masticweir.feed;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.masticweir.id.RouterId;
import org.masticweir.membership.SharedDuty;
import org.masticweir.membership.StandIn;

/**
 * Decides whether this router reads the store for its domain; reads no clock.
 *
 * <p>Load that it answers: each change in the store returns a call of every router that waits for
 * one, so calls grow with routers times changes. Here two routers of a domain read and tell the
 * others. Failures guarded against: both are lost, paused, cut off from the store or from their
 * peers. It shows as readers that are silent or say that the store is lost; the next ranks then
 * read, and a router that hears nobody reads for itself.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class ReadingShare {
    /** Time between two words of a reader to its domain, in ms. */
    public static final long WORD_MS = 300;

    /**
     * Two readers, so that the loss of one costs no time. The next rank waits for three words that
     * did not come; no rank waits longer than leaves half a second of the two seconds in which a
     * change must be in force.
     */
    private static final StandIn STAND_IN = new StandIn(2, 3 * WORD_MS, 150, 1_500);

    /** Silence after which a router no longer counts as one of the domain, in ms: five pulses. */
    private static final long MEMBER_MS = 5_000;

    /** How long word of a lost store makes removals doubtful to who reads next, in ms. */
    private static final long LOST_MS = 5_000;

    /**
     * The name by which routers are ranked; those that tell a domain of the store rank it alike.
     */
    public static final String DUTY = "store";

    private static final int STAND_BY_RANK = 1;

    private final RouterId self;
    private final SharedDuty<String> duty;
    private final Map<RouterId, Long> heardMs = new HashMap<>();
    private ImmutableSet<RouterId> members = ImmutableSet.of();
    private long lostMs = Long.MIN_VALUE / 2;

    private ReadingShare(RouterId self) {
        this.self = self;
        duty = SharedDuty.of(self, name -> name, STAND_IN);
        duty.members(ImmutableSet.of(self));
    }

    /** Returns the share of {@code self}, which knows no other router of its domain yet. */
    public static ReadingShare of(RouterId self) {
        return new ReadingShare(self);
    }

    /** Takes a word of {@code from}, a router of the same domain. */
    public void heard(RouterId from, StoreContact contact, long nowMs) {
        boolean isNew = heardMs.put(from, nowMs) == null;
        if (isNew) {
            rank(nowMs);
        }
        if (contact == StoreContact.HEARD) {
            duty.heard(DUTY, from, nowMs);
        } else if (contact == StoreContact.LOST) {
            lostMs = nowMs;
        }
    }

    /** Takes note that the link from {@code router} has closed: it has most likely ended. */
    public void closed(RouterId router) {
        heardMs.remove(router);
    }

    /** Returns this router's part now. */
    public ReadingRole role(long nowMs) {
        int rank = rank(nowMs);
        if (rank == 0) {
            return ReadingRole.FIRST;
        }
        if (rank == STAND_BY_RANK) {
            return ReadingRole.STAND_BY;
        }
        return duty.isDue(DUTY, nowMs) ? ReadingRole.SUBSTITUTE : ReadingRole.TOLD;
    }

    /** Returns whether a reader of the domain has said of late that the store is lost. */
    public boolean wasLost(long nowMs) {
        return nowMs - lostMs <= LOST_MS;
    }

    /** Returns what its decisions rest on, for the log. */
    public String basis(long nowMs) {
        return "rank " + rank(nowMs) + " of " + (heardMs.size() + 1) + " routers";
    }

    private int rank(long nowMs) {
        heardMs.values().removeIf(at -> nowMs - at > MEMBER_MS);
        if (!members.equals(heardMs.keySet())) {
            members = ImmutableSet.copyOf(heardMs.keySet());
            duty.members(ImmutableSet.<RouterId>builder().addAll(members).add(self).build());
        }
        return duty.rank(DUTY, nowMs);
    }
}
