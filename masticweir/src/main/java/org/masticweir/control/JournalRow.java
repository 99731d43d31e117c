package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.masticweir.id.EngineId;
import org.masticweir.store.RowKey;

/**
 * The value of an engine's journal row; immutable.
 *
 * @param fencing fencing number of the holder who wrote it
 * @param open whether an order may be on its way
 * @param order that order, or the last one, as sent; empty for none
 */
record JournalRow(long fencing, boolean open, String order) {
    static final String TABLE = "orders";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    JournalRow {
        checkArgument(fencing >= 0, "fencing number %s", fencing);
        checkNotNull(order, "order");
    }

    static JournalRow none() {
        return new JournalRow(0, false, "");
    }

    static JournalRow intent(Order order) {
        return new JournalRow(order.fencing(), true, order.encode());
    }

    static RowKey keyOf(EngineId engine) {
        return RowKey.of(TABLE, engine.value());
    }

    JournalRow closed() {
        return new JournalRow(fencing, false, order);
    }

    JournalRow adoptedUnder(long newFencing) {
        return new JournalRow(newFencing, open, order);
    }

    /** Returns the version that an order on its way may be loading. */
    Optional<ModelVersion> openLoad() {
        return open
                ? Optional.of(Order.decode(order))
                        .filter(o -> o.kind() == OrderKind.LOAD)
                        .flatMap(Order::model)
                : Optional.empty();
    }

    String encode() {
        return MAPPER.createObjectNode()
                .put("fencing", fencing)
                .put("open", open)
                .put("order", order)
                .toString();
    }

    static JournalRow decode(String value) {
        try {
            JsonNode root = MAPPER.readTree(value);
            checkArgument(root.path("fencing").canConvertToLong(), "journal without fencing");
            return new JournalRow(
                    root.path("fencing").asLong(),
                    root.path("open").asBoolean(true),
                    root.path("order").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("journal row is not JSON", e);
        }
    }
}
