package org.masticweir.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Starts the I/O threads of a bench run. */
public final class BenchWorker {
    private BenchWorker() {}

    /** Returns a worker with {@code ioThreads} daemon threads; the caller shuts it down. */
    public static XnioWorker start(int ioThreads) {
        try {
            return Xnio.getInstance()
                    .createWorker(
                            OptionMap.builder()
                                    .set(Options.WORKER_IO_THREADS, ioThreads)
                                    .set(Options.TCP_NODELAY, true)
                                    .set(Options.THREAD_DAEMON, true)
                                    .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
