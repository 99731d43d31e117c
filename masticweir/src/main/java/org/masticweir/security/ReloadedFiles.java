package org.masticweir.security;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.time.Clock;

/**
 * A value made of small files, made anew when their content changes.
 *
 * <p>The files are looked at when the value is asked for, at most once in {@link #CHECK_MS}. A
 * content that can't be read or is not valid leaves the last good value in force and is logged
 * once: an operator who replaces two files one after the other, or writes one slowly, must not lock
 * everybody out. Thread-safe.
 */
public final class ReloadedFiles<T> {
    /** Shortest time between two looks at the files, in milliseconds. */
    static final long CHECK_MS = 1_000;

    /** Longest file accepted, in bytes. */
    static final int MAX_BYTES = 1 << 20;

    private static final Logger LOG = LogManager.getLogger(ReloadedFiles.class);

    /**
     * Makes a value of the content of files.
     *
     * <p>An {@link IllegalArgumentException} says that the content is not valid; its message shows
     * no secret.
     */
    @FunctionalInterface
    public interface Parser<T> {
        /** Returns the value of {@code contents}, one for each file, in their order. */
        T parse(List<byte[]> contents);
    }

    private final ImmutableList<Path> files;
    private final Parser<T> parser;
    private final Clock clock;
    private ImmutableList<ByteBuffer> seen;
    private T value;
    private long checkedAtMs;
    private String lastProblem = "";

    private ReloadedFiles(ImmutableList<Path> files, Parser<T> parser, Clock clock)
            throws IOException {
        this.files = files;
        this.parser = checkNotNull(parser, "parser");
        this.clock = checkNotNull(clock, "clock");
        seen = contents();
        value = parse(seen);
        checkedAtMs = clock.nowMs();
    }

    /**
     * Reads {@code files} for the first time.
     *
     * @throws IOException if one of them can't be read
     * @throws IllegalArgumentException if their content is not valid
     */
    public static <T> ReloadedFiles<T> open(List<Path> files, Parser<T> parser, Clock clock)
            throws IOException {
        return new ReloadedFiles<>(ImmutableList.copyOf(files), parser, clock);
    }

    /** Returns the value of the latest valid content. */
    public synchronized T get() {
        long nowMs = clock.nowMs();
        if (nowMs - checkedAtMs >= CHECK_MS) {
            checkedAtMs = nowMs;
            reload();
        }
        return value;
    }

    private void reload() {
        try {
            ImmutableList<ByteBuffer> found = contents();
            if (found.equals(seen)) {
                // A content that was not valid was told when it came.
                lastProblem = "";
                return;
            }
            seen = found;
            value = parse(found);
            lastProblem = "";
            LOG.info("security: {} read again", files);
        } catch (IOException | IllegalArgumentException e) {
            tellOnce(String.valueOf(e.getMessage()));
        }
    }

    /** Logs a problem that was not the last one: a file that stays away is looked for each time. */
    private void tellOnce(String problem) {
        if (!problem.equals(lastProblem)) {
            lastProblem = problem;
            LOG.warn("security: {} kept as it was, {}", files, problem);
        }
    }

    private T parse(ImmutableList<ByteBuffer> contents) {
        return parser.parse(
                contents.stream().map(ByteBuffer::array).collect(ImmutableList.toImmutableList()));
    }

    private ImmutableList<ByteBuffer> contents() throws IOException {
        ImmutableList.Builder<ByteBuffer> contents = ImmutableList.builder();
        for (Path file : files) {
            checkArgument(Files.size(file) <= MAX_BYTES, "%s is over %s bytes", file, MAX_BYTES);
            contents.add(ByteBuffer.wrap(Files.readAllBytes(file)));
        }
        return contents.build();
    }
}
