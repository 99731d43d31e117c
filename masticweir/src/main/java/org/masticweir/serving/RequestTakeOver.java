package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.BackEndKind;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.GenerationId;
import org.masticweir.recovery.copy.GenerationCopy;
import org.xnio.XnioIoThread;

/** Goes on with a request from another router's copy; runs on the request's I/O thread. */
final class RequestTakeOver {
    private static final Logger LOG = LogManager.getLogger(RequestTakeOver.class);

    private final ServingContext context;
    private final ServiceFinder services;
    private final XnioIoThread thread;

    RequestTakeOver(ServingContext context, ServiceFinder services, XnioIoThread thread) {
        this.context = checkNotNull(context, "context");
        this.services = checkNotNull(services, "services");
        this.thread = checkNotNull(thread, "thread");
    }

    /**
     * Runs {@code request} from {@code copy}.
     *
     * @param shown count of tokens that the callers known here have
     */
    void goOn(RunningRequest request, GenerationCopy copy, int shown) {
        RequestRun.Service service;
        try {
            service = services.serviceFor(request.spec());
        } catch (MasticweirException e) {
            RequestEnd.end(context, request, thread, new AnswerEnd.Failed(e));
            return;
        }
        LOG.info(
                "recovery: request {} taken over with {} tokens, {} shown",
                request.spec().id(),
                copy.tokens().length(),
                shown);
        GenerationCopy from = usable(request, copy, service);
        fill(request.log(), from);
        boolean whole =
                service.workClass().reliability().copiesTokens() && shown <= from.tokens().length();
        RequestRun.TakenOver taken = new RequestRun.TakenOver(from, whole);
        RequestRun.takenOver(context, request, service, thread, taken).start();
    }

    /** Returns the copy without what cannot be gone on from. */
    private static GenerationCopy usable(
            RunningRequest request, GenerationCopy copy, RequestRun.Service service) {
        Optional<AnswerEnd> end = copy.end();
        boolean failed = end.isPresent() && end.get() instanceof AnswerEnd.Failed;
        boolean again = failed && request.spec().idempotent();
        boolean engine = service.model().kind() == BackEndKind.ENGINE;
        boolean tokens = service.workClass().reliability().copiesTokens();
        if (again || engine && !failed && copy.placement().isEmpty() && copy.end().isEmpty()) {
            // Tokens of the old run may be with its callers, and nothing says which.
            return restarted(copy, service);
        }
        if (end.isPresent() && !failed && engine && !tokens) {
            // Whole, but only the engine has the tokens.
            return new GenerationCopy(
                    copy.epoch(),
                    copy.spec(),
                    copy.generation(),
                    copy.placement(),
                    copy.tokens(),
                    Optional.empty(),
                    copy.ageMs());
        }
        return copy;
    }

    private static GenerationCopy restarted(GenerationCopy copy, RequestRun.Service service) {
        int number = copy.generation().id().number() + 1;
        GenerationId id = GenerationId.of(copy.request(), number);
        return new GenerationCopy(
                copy.epoch(),
                copy.spec(),
                GenerationSpec.pin(id, service.model().pinned()),
                Optional.empty(),
                ImmutableIntArray.of(),
                Optional.empty(),
                0);
    }

    private static void fill(AnswerLog log, GenerationCopy copy) {
        log.startGeneration(copy.generation().id().number());
        int have = log.size();
        if (copy.tokens().length() > have) {
            log.append(have, copy.tokens().subArray(have, copy.tokens().length()));
        }
    }
}
