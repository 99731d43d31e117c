package org.masticweir.bench.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Keeps results as JSON files with snake-case names. */
public final class ResultJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .build();

    private ResultJson() {}

    /** Writes {@code result}, and the directories that {@code file} needs. */
    public static void write(Path file, Record result) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Files.writeString(file, MAPPER.writeValueAsString(result) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a result of the given type. */
    public static <T extends Record> T read(Path file, Class<T> type) {
        try {
            return MAPPER.readValue(Files.readString(file), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
