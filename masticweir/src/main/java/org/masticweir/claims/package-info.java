/**
 * At-most-once execution of requests that are not idempotent, by claim rows in the platform's
 * table.
 *
 * <p><b>Choice.</b> The committed insert of the claim row is itself the permission to send: one
 * write before the first send. The alternative, a second write that changes the row from claimed to
 * sent, would allow another router to take over the claim of a router that crashed between the two
 * writes. It costs a second table write and a second batch wait for every request, and saves only
 * requests whose router crashed in the milliseconds between claim and send. Such requests end as
 * {@code MAY_HAVE_RUN} here, which is correct, since their outcome is unknown. In both cases the
 * result is written back lazily, as a second row write that shares transactions and delays no
 * request.
 *
 * <p><b>Lost responses.</b> An insert with an unknown outcome is retried with the same nonce: the
 * table then either commits it or returns the row, whose nonce identifies the submission. A plain
 * read would not suffice, since a write in flight may be committed after the read. For the same
 * reason a router that gave up settles its claim by <em>writing</em> a released row in its place:
 * once that row is stored, the late insert fails its check.
 *
 * <p>A claim whose router crashed before settling stays claimed until its row is deleted as
 * expired; a repeated submission receives {@code MAY_HAVE_RUN}.
 */
package org.masticweir.claims;
