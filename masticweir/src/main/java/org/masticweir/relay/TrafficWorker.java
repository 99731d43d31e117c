package org.masticweir.relay;

import java.io.IOException;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the worker whose one I/O thread is the traffic thread of a router. */
final class TrafficWorker {
    private TrafficWorker() {}

    static XnioWorker create() {
        try {
            return Xnio.getInstance()
                    .createWorker(
                            OptionMap.builder()
                                    .set(Options.WORKER_IO_THREADS, 1)
                                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.THREAD_DAEMON, true)
                                    .getMap());
        } catch (IOException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "the traffic thread cannot start", e);
        }
    }
}
