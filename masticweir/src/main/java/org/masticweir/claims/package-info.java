/**
 * At-most-once execution of requests that are not idempotent, by claim rows in the platform's
 * table.
 *
 * <p><b>Choice.</b> The committed insert of the claim row is itself the permission to send (one
 * write before the first send). The way weighed against it, a second write that moves the row from
 * claimed to sent, would let another router take over the claim of a router that died between the
 * two; it costs a second table write and a second batch wait on every request, to win back only
 * requests whose router died in the milliseconds between claim and send. Those end as {@code
 * MAY_HAVE_RUN} here, which says no more than is known. The result is written back lazily either
 * way, as a second row write that shares transactions and delays nobody.
 *
 * <p><b>Lost answers.</b> An insert whose outcome is unknown is repeated with the same nonce: the
 * table then either commits it or shows the row, whose nonce tells whose it is. A plain read would
 * not do, since a write that is still under way may land after the read. For the same reason a
 * router that gave up settles its claim by <em>writing</em> a released row in its place: once that
 * row stands, the late insert fails its check.
 *
 * <p>A claim whose router died before settling stays claimed until it is swept; a repeated
 * submission is told {@code MAY_HAVE_RUN}.
 */
package org.masticweir.claims;
