package org.masticweir.error;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a spoilt number that makes a delay overflow, and a retry come at once. */
class RetryAdviceTest {
    @ParameterizedTest
    @CsvSource({
        "500, 500",
        "0, 0",
        "-1, 0",
        "9223372036854775807, 3600000",
        "99999999999999999999, 3600000",
        "1e300, 3600000",
        "-1e300, 0",
        "[], 0",
        "null, 0"
    })
    void isWithinItsBounds(String number, long expectedMs) throws JsonProcessingException {
        String refusal = "{\"admitted\":false,\"retry_after_ms\":" + number + "}";
        assertEquals(expectedMs, RetryAdvice.ms(new ObjectMapper().readTree(refusal)));
    }
}
