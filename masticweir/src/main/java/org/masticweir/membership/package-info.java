/**
 * Who is there: which routers and back ends live, leave or are silent; decisions without I/O.
 *
 * <p>The instance list lags, so it only proposes; heartbeats and state reports decide. An adapter
 * feeds events to {@link org.masticweir.membership.MembershipState}, carries out its actions over
 * the links between routers, and publishes its {@link org.masticweir.membership.Membership}
 * snapshots. A heartbeat is an ask whose reply is the other side's heartbeat, so that one link and
 * one exchange serve both directions. {@link org.masticweir.membership.EngineMembership} does the
 * same for back ends.
 */
package org.masticweir.membership;
