package org.masticweir.permits;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;

/**
 * Reports one use of a shared rate without a permit to the issuer.
 *
 * @param rate the whole shared rate, as observed by the sender
 */
public record RateUsageReport(PermitKey key, SharedRate rate) implements PeerMessage {
    private static final int FIELDS = 3;

    public RateUsageReport {
        checkNotNull(key, "key");
        checkNotNull(rate, "rate");
    }

    /** Returns the codec of rate usage reports with message type {@code type}. */
    public static MessageCodec<RateUsageReport> codec(int type) {
        return FieldsCodec.of(
                type,
                RateUsageReport.class,
                FIELDS,
                RateUsageReport::encode,
                RateUsageReport::decode);
    }

    private static void encode(RateUsageReport report, MessagePacker out) throws IOException {
        out.packString(report.key.value());
        out.packDouble(report.rate.perSecond()).packDouble(report.rate.burst());
    }

    private static RateUsageReport decode(Fields f) throws IOException {
        PermitKey key = new PermitKey(f.text(PermitRequest.MAX_KEY_BYTES));
        return new RateUsageReport(key, new SharedRate(f.float64(), f.float64()));
    }
}
