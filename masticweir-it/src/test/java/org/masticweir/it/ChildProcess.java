package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.collect.Iterables;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.masticweir.http.IpAddress;

/** One process that a test started, known by its handle; thread-safe. */
final class ChildProcess implements AutoCloseable {
    private static final long READY_BOUND_MS = 20_000;
    private static final long EXIT_BOUND_MS = 10_000;
    private static final long SIGNAL_BOUND_MS = 5_000;
    private static final String READY = "ready ";

    /** Says that a process ended before it was ready. */
    static final class EndedEarly extends RuntimeException {
        private final int exitCode;

        EndedEarly(String name, int exitCode) {
            super(name + " ended with code " + exitCode + " before it was ready");
            this.exitCode = exitCode;
        }

        int exitCode() {
            return exitCode;
        }
    }

    private final String name;
    private final Process process;
    private final CompletableFuture<String> ready = new CompletableFuture<>();

    private ChildProcess(String name, Process process) {
        this.name = checkNotNull(name, "name");
        this.process = checkNotNull(process, "process");
    }

    /** Starts {@code command}, whose standard error goes to {@code log}. */
    static ChildProcess start(String name, List<String> command, Path log) {
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
            ChildProcess child = new ChildProcess(name, process);
            Thread reader = new Thread(child::readOutput, "output-" + name);
            reader.setDaemon(true);
            reader.start();
            return child;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Completes with the process's ready line, or with {@link EndedEarly}. */
    CompletableFuture<String> ready() {
        return ready;
    }

    /** Waits until the process serves and returns the address that its ready line ends with. */
    InetSocketAddress awaitAddress() {
        String line = Await.get(name + " ready", ready, READY_BOUND_MS);
        return IpAddress.parse(Iterables.getLast(Splitter.on(' ').split(line)));
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Ends the process at once, as a power cut would, and waits until it is gone. */
    void kill() {
        process.destroyForcibly();
        Await.get(name + " killed", process.onExit(), EXIT_BOUND_MS);
    }

    /** Asks the process to leave; the future tells its exit code. */
    CompletableFuture<Integer> terminate() {
        process.destroy();
        return process.onExit().thenApply(Process::exitValue);
    }

    /** Returns the exit code that the process ends with by itself. */
    CompletableFuture<Integer> exit() {
        return process.onExit().thenApply(Process::exitValue);
    }

    /** Stops the process from running, with its connections left open. */
    void pause() {
        signal("-STOP");
    }

    /** Lets a paused process run again. */
    void resume() {
        signal("-CONT");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String signal) {
        try {
            Process kill =
                    new ProcessBuilder("/bin/kill", signal, Long.toString(process.pid())).start();
            int code = Await.get("kill " + signal, kill.onExit(), SIGNAL_BOUND_MS).exitValue();
            if (code != 0) {
                throw new AssertionError("kill " + signal + " of " + name + " gave " + code);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void readOutput() {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith(READY)) {
                    ready.complete(line);
                }
            }
        } catch (IOException e) {
            // The process has ended; what counts then is its exit code.
        }
        process.onExit()
                .thenAccept(p -> ready.completeExceptionally(new EndedEarly(name, p.exitValue())));
    }
}
