package org.masticweir.membership;

import java.net.InetSocketAddress;
import org.masticweir.id.RouterId;

/** Something that {@link MembershipState} wants done, in the order given. */
public sealed interface MembershipAction {
    /** Ask {@code to} with {@code beat}; its reply is a heartbeat to feed back. */
    record SendHeartbeat(RouterId to, Heartbeat beat) implements MembershipAction {}

    /** Answer the heartbeat that was just fed in. */
    record AnswerHeartbeat(RouterId to, Heartbeat beat) implements MembershipAction {}

    /** Let the links know where {@code peer} listens. */
    record LearnPeer(RouterId peer, InetSocketAddress address) implements MembershipAction {}

    /** Let the links drop {@code peer}. */
    record ForgetPeer(RouterId peer) implements MembershipAction {}

    /** Show {@code membership} to the threads that ask for members. */
    record Publish(Membership membership) implements MembershipAction {}
}
