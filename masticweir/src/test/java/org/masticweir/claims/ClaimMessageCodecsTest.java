package org.masticweir.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Strings;
import java.io.IOException;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.masticweir.error.Verdict;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests the encoding of claim messages. */
class ClaimMessageCodecsTest {
    private static final RowKey KEY =
            ClaimRow.keyOf(TeamId.of("advisers"), RequestId.of(Strings.repeat("a", 32)));
    private static final ClaimRow ROW =
            ClaimRow.claimed(
                    Strings.repeat("n", 36), RouterId.of("nl-west-1-r1"), 1_764_700_000_000L);

    private static BatchItem item(ClaimRow row) {
        return new BatchItem(7, new ClaimWrite(KEY, 1, Row.ABSENT, row, 0, true));
    }

    @SuppressWarnings("unchecked") // The codec is looked up by the message's own class.
    private static <T extends PeerMessage> int assertRoundTrip(T message) throws IOException {
        for (MessageCodec<?> any : ClaimMessageCodecs.all()) {
            if (any.messageType().equals(message.getClass())) {
                MessageCodec<T> codec = (MessageCodec<T>) any;
                MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
                codec.encode(message, out);
                byte[] bytes = out.toByteArray();
                assertEquals(message, codec.decode(MessagePack.newDefaultUnpacker(bytes)));
                return bytes.length;
            }
        }
        throw new AssertionError("no codec for " + message);
    }

    @Test
    void messagesRoundTrip() throws IOException {
        ClaimWriteRequest request = ClaimWriteRequest.of(item(ROW)).orElseThrow();
        ClaimWriteRequest end =
                ClaimWriteRequest.of(item(ROW.done(Verdict.COMPLETED, ""))).orElseThrow();
        int accepted = assertRoundTrip(new ClaimWriteAccepted(request.id()));
        int response =
                assertRoundTrip(
                        ClaimWriteResponse.fromEvent(new ClaimEvent.Committed(1, 1L << 32)));
        System.out.printf(
                "claims: write request %d bytes, end without result %d, accepted %d, response %d, no headers%n",
                assertRoundTrip(request), assertRoundTrip(end), accepted, response);
        assertEquals(item(ROW), request.toItem(7, 0));
    }

    @Test
    void responsesCarryTheOutcome() {
        Row stands = Row.of(KEY, 5, ROW.encode());
        ClaimEvent conflict = new ClaimEvent.Conflicted(2, stands);
        assertEquals(conflict, ClaimWriteResponse.fromEvent(conflict).toEvent(2, KEY));
        ClaimEvent refusal = new ClaimEvent.NotDone(2, OptionalLong.of(40));
        assertEquals(refusal, ClaimWriteResponse.fromEvent(refusal).toEvent(2, KEY));
        Row tooLong = Row.of(KEY, 5, Strings.repeat("x", ClaimWriteRequest.MAX_ROW_BYTES + 1));
        assertEquals(
                new ClaimEvent.Unknown(2),
                ClaimWriteResponse.fromEvent(new ClaimEvent.Conflicted(2, tooLong))
                        .toEvent(2, KEY));
    }

    /**
     * A newer router's claim contains a field that this version does not have. If this router wrote
     * the row, the field would be lost; the claimant must write the row itself.
     */
    @Test
    void rowOfAnotherVersionIsNotWritten() {
        String newer = ROW.encode().replace("{", "{\"added\":1,");
        ClaimWriteRequest request =
                new ClaimWriteRequest(new ClaimWriteId(7, 1), KEY.key(), 0, true, newer);
        assertThrows(IllegalArgumentException.class, () -> request.toItem(7, 0));
        assertTrue(ClaimWriteRequest.fits(newer));
    }
}
