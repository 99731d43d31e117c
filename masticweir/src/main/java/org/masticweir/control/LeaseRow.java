package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.masticweir.id.RouterId;
import org.masticweir.store.RowKey;

/**
 * The value of a lease's row; immutable.
 *
 * @param holder who holds it; empty when it was given back
 * @param fencing grows by one with each change of holder and never falls
 * @param durationMs how long others wait on their own clocks after they first saw this revision
 */
public record LeaseRow(Optional<RouterId> holder, long fencing, long durationMs) {
    /** Table that holds leases. */
    public static final String TABLE = "leases";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public LeaseRow {
        checkNotNull(holder, "holder");
        checkArgument(fencing >= 0, "fencing number %s", fencing);
        checkArgument(durationMs >= 0, "duration %s ms", durationMs);
    }

    public static RowKey keyOf(String lease) {
        return RowKey.of(TABLE, lease);
    }

    static LeaseRow heldBy(RouterId holder, long fencing, long durationMs) {
        return new LeaseRow(Optional.of(holder), fencing, durationMs);
    }

    /** Returns the row that gives the lease back; the fencing number stays, as it may not fall. */
    LeaseRow givenBack() {
        return new LeaseRow(Optional.empty(), fencing, 0);
    }

    boolean isHeldBy(RouterId router) {
        return holder.equals(Optional.of(router));
    }

    /** Returns the row's value as JSON. */
    public String encode() {
        return MAPPER.createObjectNode()
                .put("holder", holder.map(RouterId::value).orElse(""))
                .put("fencing", fencing)
                .put("duration_ms", durationMs)
                .toString();
    }

    /**
     * Returns the lease that {@code value} holds; fails with an argument error on anything else.
     */
    public static LeaseRow decode(String value) {
        try {
            JsonNode root = MAPPER.readTree(value);
            checkArgument(root.path("fencing").canConvertToLong(), "lease without fencing number");
            String holder = root.path("holder").asText();
            return new LeaseRow(
                    holder.isEmpty() ? Optional.empty() : Optional.of(RouterId.of(holder)),
                    root.path("fencing").asLong(),
                    root.path("duration_ms").asLong());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("lease row is not JSON", e);
        }
    }
}
