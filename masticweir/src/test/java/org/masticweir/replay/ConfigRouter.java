package org.masticweir.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticweir.config.ConfigAction;
import org.masticweir.config.ConfigState;
import org.masticweir.config.ConfigTimings;
import org.masticweir.config.RevisionSource;
import org.masticweir.config.StoredRevision;
import org.masticweir.id.RouterId;
import org.masticweir.membership.LoadDigest;
import org.masticweir.membership.Member;
import org.masticweir.membership.MemberState;
import org.masticweir.membership.Membership;
import org.masticweir.membership.MembershipAction;
import org.masticweir.membership.MembershipEvent;
import org.masticweir.membership.MembershipSettings;
import org.masticweir.membership.MembershipState;
import org.masticweir.membership.RouterAddress;

/** One router's membership and configuration, and which revisions were in force on it. */
final class ConfigRouter {
    private static final ConfigTimings TIMINGS = new ConfigTimings(100, 3_000, 5_000);

    private final RouterAddress where;
    private final boolean anyRevision;
    private final ConfigTable table;
    private final Map<String, String> answers;
    private final ConfigState config;
    private final MembershipState members;
    private final List<Long> inForce = new ArrayList<>();
    private Membership view;
    private Optional<StoredRevision> row = Optional.empty();

    /** Under {@code anyRevision} the plain policy is followed: apply whatever a peer has. */
    ConfigRouter(
            RouterAddress where,
            boolean anyRevision,
            ConfigTable table,
            Map<String, String> answers) {
        this.where = where;
        this.anyRevision = anyRevision;
        this.table = table;
        this.answers = answers;
        config = ConfigState.create(where.domain(), TIMINGS);
        members = MembershipState.of(where, MembershipSettings.DEFAULT);
        view = Membership.none(where);
    }

    RouterAddress where() {
        return where;
    }

    ConfigState config() {
        return config;
    }

    Optional<StoredRevision> row() {
        return row;
    }

    List<Long> inForce() {
        return inForce;
    }

    MemberState stateOf(RouterId other) {
        return view.member(other).map(Member::state).orElse(MemberState.DEAD);
    }

    /** Takes an event and returns the heartbeats to carry. */
    List<MembershipAction> apply(MembershipEvent event, long nowMs) {
        List<MembershipAction> actions = members.apply(event, nowMs);
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Publish publish) {
                view = publish.membership();
                view.domains()
                        .forEach(
                                d ->
                                        carryOut(
                                                config.domainHolds(d.domain(), d.configRevision()),
                                                nowMs));
            }
        }
        return actions;
    }

    MembershipEvent.OwnState own() {
        long revision = row.map(StoredRevision::revision).orElse(0L);
        MemberState state = revision > 0 ? MemberState.SERVING : MemberState.STARTING;
        return new MembershipEvent.OwnState(state, revision, LoadDigest.NONE);
    }

    /** Takes over what a peer holds, as far as the policy goes. */
    void offered(StoredRevision offer, long nowMs) {
        if (anyRevision && !row.equals(Optional.of(offer))) {
            announce(offer);
        }
        carryOut(config.learned(offer, RevisionSource.PEER, nowMs), nowMs);
    }

    void poll(long nowMs) {
        table.current().ifPresent(r -> pollRow(r, nowMs));
    }

    private void pollRow(StoredRevision stored, long nowMs) {
        if (anyRevision && !row.equals(Optional.of(stored))) {
            announce(stored);
        }
        carryOut(config.learned(stored, RevisionSource.TABLE, nowMs), nowMs);
    }

    void carryOut(List<ConfigAction> actions, long nowMs) {
        for (ConfigAction action : actions) {
            if (action instanceof ConfigAction.ReadRow read) {
                carryOut(config.read(read.changeId(), table.view(read.successor()), nowMs), nowMs);
            } else if (action instanceof ConfigAction.WriteRow write) {
                carryOut(config.written(write.row(), table.write(write), nowMs), nowMs);
            } else if (action instanceof ConfigAction.Announce announce) {
                announce(announce.row());
            } else if (action instanceof ConfigAction.Answer answer) {
                answers.put(answer.answer().changeId(), answer.answer().outcome().word());
            }
        }
    }

    private void announce(StoredRevision now) {
        if (!row.equals(Optional.of(now))) {
            row = Optional.of(now);
            inForce.add(now.revision());
        }
    }
}
