package org.masticweir.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.id.RouterId;

/** Something that {@link MembershipState} decides on. */
public sealed interface MembershipEvent {
    /** Time has passed; due several times per heartbeat interval. */
    record Tick() implements MembershipEvent {}

    /** The instance list was read. */
    record Listed(List<ListedRouter> routers) implements MembershipEvent {
        public Listed {
            routers = ImmutableList.copyOf(routers);
        }
    }

    /**
     * A heartbeat came.
     *
     * @param asked whether it waits for an answer, rather than being one
     */
    record Heard(Heartbeat beat, boolean asked) implements MembershipEvent {
        public Heard {
            checkNotNull(beat, "beat");
        }
    }

    /** A link to or from a peer broke. */
    record LinkLost(RouterId peer) implements MembershipEvent {
        public LinkLost {
            checkNotNull(peer, "peer");
        }
    }

    /** A link to or from a peer has come up: it has answered a greeting. */
    record LinkUp(RouterId peer) implements MembershipEvent {
        public LinkUp {
            checkNotNull(peer, "peer");
        }
    }

    /** This router's own state, revision or load is now this. */
    record OwnState(MemberState state, long configRevision, LoadDigest load)
            implements MembershipEvent {
        public OwnState {
            checkArgument(state.announced(), "own state %s", state);
            checkArgument(configRevision >= 0, "revision %s", configRevision);
            checkNotNull(load, "load");
        }
    }
}
