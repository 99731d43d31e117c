package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.XnioIoThread;

/**
 * Cancels a request that nobody reads any more, here or through another router.
 *
 * <p>A caller that left shows as a log without readers that is not read either; without the watch
 * an engine would go on generating to the end for nobody. Runs on the request's I/O thread.
 */
final class OrphanWatch {
    private static final Logger LOG = LogManager.getLogger(OrphanWatch.class);

    private final ServingContext context;
    private final RunningRequest request;
    private final XnioIoThread thread;
    private long readsSeen;

    OrphanWatch(ServingContext context, RunningRequest request, XnioIoThread thread) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
    }

    /** Looks from time to time until the request ends. */
    void start() {
        readsSeen = request.log().reads();
        thread.executeAfter(this::look, context.tuning().orphanMs(), TimeUnit.MILLISECONDS);
    }

    private void look() {
        if (request.log().ended()) {
            return;
        }
        long reads = request.log().reads();
        boolean heard = request.log().readers() > 0 || request.log().watched();
        if (!heard && reads == readsSeen) {
            LOG.info("serving: request {} has no caller, cancelled", request.spec().id());
            request.cancel();
            return;
        }
        start();
    }
}
