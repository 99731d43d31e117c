package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.RowKey;

/**
 * Asks a router of the domain to write a claim's row among its own; answered by a {@link
 * ClaimWriteResponse}.
 *
 * @param row the claimant's row as it is to stand in the table
 */
record ClaimWriteRequest(
        ClaimWriteId id, String key, long expectedRevision, boolean urgent, String row)
        implements PeerMessage {
    static final int MAX_KEY_BYTES = 1_024;
    static final int MAX_ROW_BYTES = 128 * 1_024;

    ClaimWriteRequest {
        checkNotNull(id, "id");
        checkNotNull(key, "key");
        checkNotNull(row, "row");
    }

    /** Returns the message for {@code item}, or nothing if it is too long for one. */
    static Optional<ClaimWriteRequest> of(BatchItem item) {
        ClaimWrite w = item.write();
        ClaimWriteRequest m =
                new ClaimWriteRequest(
                        ClaimWriteId.of(item),
                        w.key().key(),
                        w.expectedRevision(),
                        w.urgent(),
                        w.row().encode());
        return bytes(m.key) <= MAX_KEY_BYTES && fits(m.row) ? Optional.of(m) : Optional.empty();
    }

    /** Tells whether a message may hold {@code row}. */
    static boolean fits(String row) {
        return bytes(row) <= MAX_ROW_BYTES;
    }

    /**
     * Returns the write as the writer queues it under a number of its own.
     *
     * <p>A row of a later version may hold what this version would drop; it fails with an argument
     * error, so that its claimant writes it.
     */
    BatchItem toItem(long number, long nowMs) {
        ClaimRow decoded = ClaimRow.decode(row);
        checkArgument(decoded.encode().equals(row), "row of another version");
        RowKey rowKey = RowKey.of(ClaimRow.TABLE, key);
        return new BatchItem(
                number,
                new ClaimWrite(rowKey, id.ticket(), expectedRevision, decoded, nowMs, urgent));
    }

    private static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }
}
