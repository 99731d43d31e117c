package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.feed.ReadingRole;
import org.masticweir.feed.ReadingShare;
import org.masticweir.feed.StoreContact;
import org.masticweir.feed.TableFollower;
import org.masticweir.id.RouterId;
import org.masticweir.store.Revision;
import org.masticweir.time.Clock;

/** This router's role in reading the store's tables; owned by the control thread. */
final class StoreReading {
    private static final Logger LOG = LogManager.getLogger(StoreReading.class);

    private final ReadingShare readingShare;
    private final Clock clock;
    private List<TableFollower> followers = List.of();
    private ReadingRole lastRole = ReadingRole.TOLD;

    StoreReading(ReadingShare readingShare, Clock clock) {
        this.readingShare = checkNotNull(readingShare, "readingShare");
        this.clock = checkNotNull(clock, "clock");
    }

    /** Sets the followers of all tables, once. */
    void setFollowers(TableFollower... tables) {
        followers = List.of(tables);
        tick();
    }

    ReadingRole role() {
        return readingShare.role(clock.nowMs());
    }

    /** Starts reading if the role now requires it, and logs a change of the role. */
    void tick() {
        ReadingRole role = role();
        if (role != lastRole) {
            LOG.info("store: {} after {}, {}", role, lastRole, readingShare.basis(clock.nowMs()));
            lastRole = role;
        }
        if (role.reads()) {
            followers.forEach(TableFollower::resume);
        }
    }

    /** Records the store contact reported by a router of the own domain. */
    void recordContact(RouterId from, StoreContact contact) {
        readingShare.heard(from, contact, clock.nowMs());
    }

    /** Records that the link from a router has closed. */
    void recordLinkClosed(RouterId router) {
        readingShare.closed(router);
    }

    /**
     * Records that the servers' table was received up to {@code revision} through a router that
     * reads the store.
     */
    void recordReceived(TableFollower servers, Revision revision) {
        servers.told(revision, readingShare.wasLost(clock.nowMs()));
    }

    /** Returns the store contact to report to peers: the worst contact of all followers. */
    StoreContact contact() {
        StoreContact worst = StoreContact.HEARD;
        for (TableFollower follower : followers) {
            StoreContact contact = follower.contact();
            if (contact == StoreContact.LOST) {
                return contact;
            }
            worst = contact == StoreContact.NOT_READING ? contact : worst;
        }
        return worst;
    }

    /**
     * Returns whether this router must request missing updates from peers because it receives none
     * from the store.
     */
    boolean dependsOnPeers() {
        return !role().reads() || contact() == StoreContact.LOST;
    }
}
