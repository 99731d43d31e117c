package org.masticweir.membership;

import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/** What {@link MembershipState} keeps of one other router; owned by the control thread. */
final class MemberEntry {
    private final long weight;
    private final int factor;
    private final MembershipSettings settings;
    private final HeartbeatPace pace;

    private RouterAddress where;
    private MemberState announced = MemberState.STARTING;
    private MemberState judged = MemberState.STARTING;
    private long heardMs;
    private long firstHeardMs = DomainView.NEVER;
    private boolean linkLost;
    private boolean listed;
    private boolean listedLeaving;
    private long announcedMs;
    private long configRevision;
    private LoadDigest load = LoadDigest.NONE;

    private boolean learned;
    private long nextBeatMs;
    private long beats;
    private long triedMs = DomainView.NEVER;
    private long retryMs;

    /**
     * Creates a member that was not heard yet.
     *
     * @param factor how many times longer its times are than in the own domain
     * @param pace time between this router's own heartbeats
     */
    MemberEntry(
            RouterAddress where,
            long weight,
            int factor,
            MembershipSettings settings,
            HeartbeatPace pace,
            long nowMs) {
        this.where = where;
        this.weight = weight;
        this.factor = factor;
        this.settings = settings;
        this.pace = pace;
        heardMs = nowMs;
        nextBeatMs = nowMs;
    }

    RouterId router() {
        return where.router();
    }

    DomainId domain() {
        return where.domain();
    }

    RouterAddress where() {
        return where;
    }

    long weight() {
        return weight;
    }

    MemberState judged() {
        return judged;
    }

    boolean listed() {
        return listed;
    }

    /** Tells whether it was heard and is thought to live, so that others may be told of it. */
    boolean live() {
        return firstHeardMs != DomainView.NEVER && judged.announced();
    }

    boolean heardFirstSince(long ms) {
        return firstHeardMs >= ms;
    }

    /**
     * Takes what the instance list says; its address counts only for a member never heard or dead.
     *
     * <p>A member that lists one address and says another in its heartbeats would be moved to and
     * fro otherwise, and its link dropped each time: dropping it makes it suspect for a moment.
     */
    boolean list(ListedRouter l) {
        listed = true;
        listedLeaving = l.leaving();
        boolean unheard = firstHeardMs == DomainView.NEVER || judged == MemberState.DEAD;
        return unheard && move(l.where());
    }

    void unlist() {
        listed = false;
    }

    /** Moves to a newer address; returns whether it changed. */
    boolean move(RouterAddress to) {
        boolean moved = !where.address().equals(to.address());
        long incarnation = Math.max(where.incarnation(), to.incarnation());
        where = RouterAddress.of(router(), domain(), to.address(), incarnation);
        return moved;
    }

    /** Takes a heartbeat; one of a higher incarnation starts the member anew. */
    void heard(Heartbeat beat, long nowMs) {
        boolean restarted = beat.sender().incarnation() > where.incarnation();
        if (restarted || firstHeardMs == DomainView.NEVER) {
            firstHeardMs = nowMs;
        }
        if (restarted) {
            listedLeaving = false;
        }
        where = beat.sender();
        announced = beat.state();
        configRevision = beat.configRevision();
        load = beat.load();
        announcedMs = beat.intervalMs();
        heardMs = nowMs;
        linkLost = false;
        triedMs = DomainView.NEVER;
    }

    void linkLost() {
        linkLost = true;
    }

    /**
     * Takes a greeting. It shows that the process lives, not that it decides: the member stays
     * suspect until it is heard, but has the time from there to its death anew.
     */
    void linkUp(long nowMs) {
        if (judged != MemberState.DEAD) {
            heardMs = Math.max(heardMs, nowMs - suspectMs());
        }
    }

    /** Makes a silent member that no heartbeats go to a mere proposal again, as if just listed. */
    void reset(long nowMs) {
        firstHeardMs = DomainView.NEVER;
        announced = MemberState.STARTING;
        heardMs = nowMs;
        linkLost = false;
    }

    boolean silent(long nowMs) {
        return linkLost || nowMs - heardMs >= suspectMs();
    }

    /** Forgives {@code ms} of silence, during which this router itself was paused. */
    void forgive(long ms) {
        heardMs += ms;
    }

    boolean beatDue(long nowMs) {
        return nowMs >= nextBeatMs;
    }

    void beatNextAt(long ms) {
        nextBeatMs = ms;
    }

    /** Counts a heartbeat to the member and returns how many went before. */
    long nextTurn() {
        return beats++;
    }

    /** Returns whether the links were told its address, and notes that they are now. */
    boolean learn() {
        boolean before = learned;
        learned = true;
        return before;
    }

    /** Returns whether the links know it, and notes that they are told to drop it. */
    boolean unlearn() {
        boolean before = learned;
        learned = false;
        return before;
    }

    /**
     * Starts the waits between tries of a member that was just found dead.
     *
     * <p>They grow from one heartbeat, so that a member that comes back is heard again after a time
     * that its absence sets.
     */
    void startRetries(long nowMs) {
        retryMs = factor * pace.intervalMs();
        nextBeatMs = nowMs + retryMs;
    }

    /** Notes a try of a dead member and doubles the wait for the next, up to {@code maxMs}. */
    void tried(long nowMs, long maxMs) {
        triedMs = nowMs;
        retryMs = Math.min(maxMs, 2 * retryMs);
        nextBeatMs = nowMs + retryMs;
    }

    /** Tells whether the last try of a dead member went unanswered for long enough. */
    boolean tryFailed(long nowMs) {
        return triedMs == DomainView.NEVER || nowMs - triedMs >= suspectMs();
    }

    /**
     * Returns the time between heartbeats that the member is judged by.
     *
     * <p>A member whose view is larger sends them more rarely and says so. One whose view is
     * smaller may not have chosen this router as a peer: then it is heard only when asked.
     */
    private long intervalMs() {
        return Math.max(announcedMs, pace.intervalMs());
    }

    private long suspectMs() {
        return factor * settings.suspectMs(intervalMs());
    }

    private long deadMs() {
        return factor * settings.deadMs(intervalMs());
    }

    /** Judges the member by its silence; returns whether its state changed. */
    boolean judge(long nowMs) {
        MemberState before = judged;
        if (nowMs - heardMs >= deadMs()) {
            judged = MemberState.DEAD;
        } else if (silent(nowMs)) {
            judged = MemberState.SUSPECT;
        } else {
            judged = listedLeaving ? MemberState.DRAINING : announced;
        }
        return judged != before;
    }

    Member toMember() {
        return new Member(where, judged, heardMs, configRevision, load);
    }
}
