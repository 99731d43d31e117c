package org.masticweir.it;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.masticweir.cli.Masticweir;
import org.masticweir.http.IpAddress;

/**
 * What one run of the operators' command line printed and how it ended.
 *
 * @param exit exit code of the process
 */
record CommandLineRun(int exit, String out, String err) {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin/java").toString();

    /** Starts the program; the future completes when its process has ended. */
    static CompletableFuture<CommandLineRun> start(
            Path directory, InetSocketAddress router, String... arguments) {
        ImmutableList<String> command =
                ImmutableList.<String>builder()
                        .add(JAVA, "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
                        .add("-cp", System.getProperty("java.class.path"))
                        .add(Masticweir.class.getName())
                        .add(arguments)
                        .add("--router", IpAddress.text(router))
                        .build();
        try {
            Path out = Files.createTempFile(directory, "command", ".out");
            Path err = Files.createTempFile(directory, "command", ".err");
            Process process =
                    new ProcessBuilder(command)
                            .redirectOutput(out.toFile())
                            .redirectError(err.toFile())
                            .start();
            return process.onExit()
                    .thenApply(p -> new CommandLineRun(p.exitValue(), read(out), read(err)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file, UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
