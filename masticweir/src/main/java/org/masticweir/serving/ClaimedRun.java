package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.claims.ClaimCommands;
import org.masticweir.claims.ClaimDecision;
import org.masticweir.claims.ClaimPermit;
import org.masticweir.claims.ClaimRow;
import org.masticweir.claims.ClaimStatus;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.xnio.XnioIoThread;

/**
 * Lets a non-idempotent request run only under a claim, and settles the claim by how it ended.
 *
 * <p>Runs on the request's I/O thread.
 */
final class ClaimedRun {
    private static final Logger LOG = LogManager.getLogger(ClaimedRun.class);
    private static final long CLAIM_WAIT_MS = 3_000;
    private static final long JOIN_RETRY_MS = 1_000;

    private final ServingContext context;
    private final ClaimCommands claims;
    private final RunningRequest request;
    private final XnioIoThread thread;
    private final Consumer<RunPermit> run;
    private final Ownership ownership;
    private final Runnable settle = this::settle;

    private ClaimPermit permit;
    private boolean settled;

    /**
     * Creates the run of {@code request}.
     *
     * @param run starts the request under the permit given
     */
    ClaimedRun(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            Consumer<RunPermit> run,
            Ownership ownership) {
        this.context = checkNotNull(context, "context");
        this.claims = context.claims();
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
        this.run = checkNotNull(run, "run");
        this.ownership = checkNotNull(ownership, "ownership");
    }

    /** Claims the request and runs it once the claim is certain. */
    void start() {
        long deadlineMs = context.clock().nowMs() + CLAIM_WAIT_MS;
        claims.claim(request.spec().team(), request.spec().id(), deadlineMs)
                .thenAccept(decision -> thread.execute(() -> onDecision(decision)));
    }

    private void onDecision(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Granted may) {
            permit = may.permit();
            request.log().watch(settle);
            run.accept(permit::maySend);
        } else if (decision instanceof ClaimDecision.AlreadyClaimed other) {
            endAs(other.row());
        } else {
            fail(((ClaimDecision.Refused) decision).error());
        }
    }

    private void settle() {
        if (settled || !request.log().ended()) {
            return;
        }
        settled = true;
        AnswerLog.View view = request.log().read(0, Integer.MAX_VALUE);
        AnswerEnd end = view.end().orElseThrow();
        if (end instanceof AnswerEnd.Completed completed) {
            String kept = StoredAnswer.encode(completed.result(), view.tokens());
            claims.reportEnded(permit, Verdict.COMPLETED, kept);
            return;
        }
        Verdict verdict = ((AnswerEnd.Failed) end).error().verdict();
        if (verdict == Verdict.NOT_RUN) {
            claims.reportNotSent(permit);
        } else {
            claims.reportEnded(permit, verdict, "");
        }
    }

    private void endAs(ClaimRow row) {
        if (row.status() == ClaimStatus.DONE && row.verdict() == Verdict.COMPLETED) {
            StoredAnswer.decode(row.result()).ifPresentOrElse(this::endAs, this::endWithoutAnswer);
            return;
        }
        LOG.info("claims: request {} is claimed by {}", request.spec().id(), row.owner());
        // The other submission may run at this moment: nothing weaker may be said of the key.
        fail(
                MasticweirException.of(
                                ErrorCode.DUPLICATE,
                                Verdict.MAY_HAVE_RUN,
                                "another submission of this idempotency key has the claim")
                        .retryAfterMs(JOIN_RETRY_MS));
    }

    private void endAs(StoredAnswer answer) {
        request.log().append(0, answer.tokens());
        ownership.accepted(answer.tokens().length());
        ownership.ended(new AnswerEnd.Completed(answer.result()));
    }

    /** Too long for its row: without its tokens it must not pass for a whole answer. */
    private void endWithoutAnswer() {
        fail(
                MasticweirException.of(
                        ErrorCode.DUPLICATE,
                        Verdict.COMPLETED,
                        "the request ran to its end and its answer is no longer kept"));
    }

    private void fail(MasticweirException error) {
        long ms = context.clock().nowMs() - request.acceptedAtMs();
        context.observer().failed(request.spec(), error, ms);
        ownership.ended(new AnswerEnd.Failed(error));
    }
}
