package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.RowKey;

/**
 * Delegates the write of a claim's row to another router of the domain; answered by a {@link
 * ClaimWriteResponse}.
 *
 * @param row encoded row of the claimant to store in the table
 */
record ClaimWriteRequest(
        ClaimWriteId id, String key, long expectedRevision, boolean isUrgent, String row)
        implements PeerMessage {
    static final int MAX_KEY_BYTES = 1_024;
    static final int MAX_ROW_BYTES = 128 * 1_024;

    ClaimWriteRequest {
        checkNotNull(id, "id");
        checkNotNull(key, "key");
        checkNotNull(row, "row");
    }

    /**
     * Returns the message for {@code item}, or empty if the key or the row is too long for a
     * message.
     */
    static Optional<ClaimWriteRequest> of(BatchItem item) {
        ClaimWrite w = item.write();
        ClaimWriteRequest m =
                new ClaimWriteRequest(
                        ClaimWriteId.of(item),
                        w.key().key(),
                        w.expectedRevision(),
                        w.isUrgent(),
                        w.row().encode());
        return bytes(m.key) <= MAX_KEY_BYTES && fits(m.row) ? Optional.of(m) : Optional.empty();
    }

    /** Returns whether {@code row} fits into a message. */
    static boolean fits(String row) {
        return bytes(row) <= MAX_ROW_BYTES;
    }

    /**
     * Returns the write that the writer queues under its own {@code number}.
     *
     * <p>A row of a later version may contain fields that this version would drop; for such a row
     * the method throws an {@link IllegalArgumentException}, and the claimant writes the row
     * itself.
     */
    BatchItem toItem(long number, long nowMs) {
        ClaimRow decoded = ClaimRow.decode(row);
        checkArgument(decoded.encode().equals(row), "row of another version");
        RowKey rowKey = RowKey.of(ClaimRow.TABLE, key);
        return new BatchItem(
                number,
                new ClaimWrite(rowKey, id.ticket(), expectedRevision, decoded, nowMs, isUrgent));
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
