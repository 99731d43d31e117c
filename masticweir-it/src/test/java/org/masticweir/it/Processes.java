package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.masticweir.daemon.Masticweird;
import org.masticweir.standins.StandIns;

/** Starts Java processes for a test and ends them all, also when the test fails; thread-safe. */
final class Processes implements AutoCloseable {
    private static final ImmutableList<String> FLAGS =
            ImmutableList.of("-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin/java").toString();

    private final Path directory;
    private final List<ChildProcess> started = new CopyOnWriteArrayList<>();
    private final Thread atExit = new Thread(this::endAll, "end-processes");

    private Processes(Path directory) {
        this.directory = checkNotNull(directory, "directory");
    }

    /** Returns a launcher that keeps settings and logs in {@code directory}. */
    static Processes in(Path directory) {
        Processes processes = new Processes(directory);
        // A test run that is interrupted closes nothing itself.
        Runtime.getRuntime().addShutdownHook(processes.atExit);
        return processes;
    }

    /** Returns a launcher that keeps settings and logs in a new directory below target. */
    static Processes inNew(String logs) {
        try {
            Path parent = Files.createDirectories(Path.of("target", logs));
            return in(Files.createTempDirectory(parent.toAbsolutePath(), "run"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the directory of settings and logs. */
    Path directory() {
        return directory;
    }

    /** Starts the platform on a port of its own choice, with a lagging instance list. */
    ChildProcess platform(int heapMb, long listLagMs, String... more) {
        ImmutableList<String> arguments =
                ImmutableList.<String>builder()
                        .add("platform", "--listen", "127.0.0.1:0")
                        .add("--list-lag-ms", Long.toString(listLagMs))
                        .add(more)
                        .build();
        return standIn("platform", heapMb, arguments);
    }

    /** Starts the fault-injecting proxy, without routes, on a port of its own choice. */
    ChildProcess proxy(int heapMb) {
        return standIn("proxy", heapMb, ImmutableList.of("proxy", "--control", "127.0.0.1:0"));
    }

    /** Starts a stand-in with at most {@code heapMb} of heap. */
    ChildProcess standIn(String name, int heapMb, List<String> arguments) {
        return start(name, heapMb, StandIns.class, arguments);
    }

    /** Starts a router with {@code settings}. */
    ChildProcess router(String name, int heapMb, String settings) {
        Path file = directory.resolve(name + ".ini");
        try {
            Files.writeString(file, settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return start(
                name, heapMb, Masticweird.class, ImmutableList.of("--settings", file.toString()));
    }

    @Override
    public void close() {
        endAll();
        Runtime.getRuntime().removeShutdownHook(atExit);
    }

    private void endAll() {
        started.forEach(ChildProcess::close);
    }

    private ChildProcess start(String name, int heapMb, Class<?> program, List<String> arguments) {
        ImmutableList<String> command =
                ImmutableList.<String>builder()
                        .add(JAVA, "-Xmx" + heapMb + "m")
                        .addAll(FLAGS)
                        .add("-cp", System.getProperty("java.class.path"))
                        .add(program.getName())
                        .addAll(arguments)
                        .build();
        ChildProcess child = ChildProcess.start(name, command, directory.resolve(name + ".log"));
        started.add(child);
        return child;
    }
}
