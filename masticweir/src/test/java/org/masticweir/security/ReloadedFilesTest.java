package org.masticweir.security;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticweir.time.ManualClock;

/** Values of files that are replaced while the process runs. */
final class ReloadedFilesTest {
    private final ManualClock clock = ManualClock.startingAt(0);
    @TempDir private Path directory;
    private Path file;
    private int parsed;

    @BeforeEach
    void writeFirst() throws IOException {
        file = Files.writeString(directory.resolve("f"), "1");
    }

    private ReloadedFiles<Integer> open() throws IOException {
        return ReloadedFiles.open(
                ImmutableList.of(file),
                contents -> {
                    parsed++;
                    return Integer.valueOf(new String(contents.get(0), UTF_8));
                },
                clock);
    }

    /** An operator replaces a file while the process runs. */
    @Nested
    final class Replaced {
        @Test
        void isReadAgainAfterTheInterval() throws IOException {
            ReloadedFiles<Integer> value = open();
            Files.writeString(file, "2");
            assertEquals(1, value.get());
            clock.advanceMs(ReloadedFiles.CHECK_MS);
            assertEquals(2, value.get());
        }

        @Test
        void isParsedOnlyWhenItChanged() throws IOException {
            ReloadedFiles<Integer> value = open();
            for (int i = 0; i < 10; i++) {
                clock.advanceMs(ReloadedFiles.CHECK_MS);
                value.get();
            }
            assertEquals(1, parsed);
        }
    }

    /**
     * A file is half written, or gone for a moment, while callers connect.
     *
     * <p>They are still served by what was valid before, and by the new content once it is whole.
     * The cause is a file that is replaced in more than one step.
     */
    @Nested
    final class NotValidForAWhile {
        @Test
        void theLastValueStaysInForce() throws IOException {
            ReloadedFiles<Integer> value = open();
            Files.writeString(file, "half");
            clock.advanceMs(ReloadedFiles.CHECK_MS);
            assertEquals(1, value.get());
            Files.delete(file);
            clock.advanceMs(ReloadedFiles.CHECK_MS);
            assertEquals(1, value.get());
            Files.writeString(file, "3");
            clock.advanceMs(ReloadedFiles.CHECK_MS);
            assertEquals(3, value.get());
        }

        @Test
        void atTheStartItIsAnError() throws IOException {
            Files.writeString(file, "half");
            assertThrows(IllegalArgumentException.class, ReloadedFilesTest.this::open);
            Files.delete(file);
            assertThrows(IOException.class, ReloadedFilesTest.this::open);
        }
    }
}
