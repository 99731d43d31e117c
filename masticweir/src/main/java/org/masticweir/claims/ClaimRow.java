package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.store.RowKey;

/**
 * The value of a claim's row; immutable.
 *
 * @param nonce random value that identifies the submission that inserted the row
 * @param owner router that made the claim; a running owner has newer information than the row
 * @param wallMs wall time of the claim, for the sweep
 * @param verdict known verdict of the run; valid for other routers only once the status is done
 * @param result stored answer, or empty if the answer was not stored
 */
public record ClaimRow(
        String nonce,
        RouterId owner,
        long wallMs,
        ClaimStatus status,
        Verdict verdict,
        String result) {
    /** Table that holds claims. */
    public static final String TABLE = "claims";

    /** Longest result stored in a row, in characters; longer results belong in the object store. */
    public static final int MAX_RESULT_CHARS = 16 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public ClaimRow {
        checkArgument(!nonce.isEmpty(), "nonce is empty");
        checkNotNull(owner, "owner");
        checkNotNull(status, "status");
        checkNotNull(verdict, "verdict");
        checkArgument(result.length() <= MAX_RESULT_CHARS, "result of %s chars", result.length());
    }

    public static ClaimRow claimed(String nonce, RouterId owner, long wallMs) {
        ClaimStatus status = ClaimStatus.CLAIMED;
        return new ClaimRow(nonce, owner, wallMs, status, status.verdictWithoutOwner(), "");
    }

    public static RowKey keyOf(TeamId team, RequestId request) {
        return RowKey.of(TABLE, team + "/" + request);
    }

    /** Returns this claim with status released; nothing was sent under it. */
    public ClaimRow released() {
        return new ClaimRow(nonce, owner, wallMs, ClaimStatus.RELEASED, Verdict.NOT_RUN, "");
    }

    /** Returns this claim with status done; a result that is too long is not stored. */
    public ClaimRow done(Verdict finalVerdict, String answer) {
        String storedResult = answer.length() <= MAX_RESULT_CHARS ? answer : "";
        return new ClaimRow(nonce, owner, wallMs, ClaimStatus.DONE, finalVerdict, storedResult);
    }

    public boolean hasNonce(String otherNonce) {
        return nonce.equals(otherNonce);
    }

    /** Returns the row's value as JSON. */
    public String encode() {
        return MAPPER.createObjectNode()
                .put("nonce", nonce)
                .put("router", owner.value())
                .put("at_ms", wallMs)
                .put("state", status.wireName())
                .put("verdict", verdict.name())
                .put("result", result)
                .toString();
    }

    /**
     * Decodes {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not a claim row
     */
    public static ClaimRow decode(String value) {
        try {
            JsonNode root = MAPPER.readTree(value);
            return new ClaimRow(
                    root.path("nonce").asText(),
                    RouterId.of(root.path("router").asText()),
                    root.path("at_ms").asLong(),
                    ClaimStatus.ofWireName(root.path("state").asText()),
                    Verdict.valueOf(root.path("verdict").asText()),
                    root.path("result").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("claim row is not JSON", e);
        }
    }
}
