package org.masticweir.serving;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/** Keeps a finished request readable for a while and then forgets it. */
final class RequestEnd {
    private RequestEnd() {}

    static void retain(ServingContext context, RunningRequest request, XnioIoThread thread) {
        context.registry().finished();
        thread.executeAfter(
                () -> context.registry().forget(request),
                context.tuning().retainMs(),
                TimeUnit.MILLISECONDS);
    }
}
