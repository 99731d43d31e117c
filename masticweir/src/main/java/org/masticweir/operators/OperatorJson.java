package org.masticweir.operators;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.EnumFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Optional;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;

/** The JSON form of this package's records; thread-safe. */
final class OperatorJson {
    private static final ImmutableList<Class<?>> IDS =
            ImmutableList.of(
                    DomainId.class,
                    EngineId.class,
                    ModelId.class,
                    RequestId.class,
                    RouterId.class,
                    TeamId.class,
                    WorkClassId.class);
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(EnumFeature.WRITE_ENUMS_TO_LOWERCASE)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .addModule(idsAsText())
                    .build();

    private OperatorJson() {}

    /** Returns {@code answer} as JSON text. */
    static String write(Object answer) {
        try {
            return MAPPER.writeValueAsString(answer);
        } catch (JsonProcessingException e) {
            throw MasticweirException.causedBy(
                    ErrorCode.INTERNAL,
                    Verdict.MAY_HAVE_RUN,
                    "the answer cannot be written as JSON",
                    e);
        }
    }

    /** Reads a whole body as a record of type {@code type}. */
    static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type))
                    .orElseThrow(() -> bad("the body is null"));
        } catch (JsonProcessingException e) {
            throw bad("the body is not the JSON object expected: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw bad("the body cannot be read");
        }
    }

    private static SimpleModule idsAsText() {
        SimpleModule module = new SimpleModule();
        IDS.forEach(type -> module.addSerializer(type, ToStringSerializer.instance));
        return module;
    }

    private static MasticweirException bad(String message) {
        return MasticweirException.notRun(ErrorCode.BAD_REQUEST, message);
    }
}
