package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.base.Strings;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/**
 * The keys and the text of the configuration's rows in the platform's table; thread-safe.
 *
 * <p>{@code current} holds the latest revision with its document; {@code history/REVISION} holds
 * each revision without it, the number padded so that rows are listed in order. Both are put in one
 * transaction.
 */
public final class ConfigRows {
    /** Name of the table. */
    public static final String TABLE = "config";

    /** Key of the latest revision. */
    public static final String CURRENT_KEY = "current";

    /** Start of the keys of the history. */
    public static final String HISTORY_PREFIX = "history/";

    private static final int REVISION_DIGITS = 19;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .build();

    private ConfigRows() {}

    /** Returns the key of the history's row for {@code revision}. */
    public static String historyKey(long revision) {
        checkArgument(revision >= 0, "revision %s below 0", revision);
        return HISTORY_PREFIX + Strings.padStart(Long.toString(revision), REVISION_DIGITS, '0');
    }

    public static String text(StoredRevision row) {
        return write(checkNotNull(row, "row"));
    }

    public static String text(HistoryEntry row) {
        return write(checkNotNull(row, "row"));
    }

    /** Returns the revision that a row's text holds; throws {@code INTERNAL} if it holds none. */
    public static StoredRevision parseCurrent(String text) {
        return read(text, StoredRevision.class);
    }

    /** Returns the entry that a row's text holds; throws {@code INTERNAL} if it holds none. */
    public static HistoryEntry parseHistory(String text) {
        return read(text, HistoryEntry.class);
    }

    private static String write(Object row) {
        try {
            return MAPPER.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("row without a JSON form", e);
        }
    }

    private static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(checkNotNull(text, "text"), type);
        } catch (JsonProcessingException e) {
            throw MasticweirException.notRun(
                    ErrorCode.INTERNAL, "a row of table config is not understood: " + e);
        }
    }
}
