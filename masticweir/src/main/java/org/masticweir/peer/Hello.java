package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;

/**
 * The first message each side of a link sends: who it is.
 *
 * @param incarnation grows with every restart under the same router id
 */
public record Hello(RouterId router, long incarnation, DomainId domain) implements PeerMessage {
    private static final int TYPE = 1;
    private static final int FIELDS = 3;
    private static final int MAX_ID_BYTES = 256;

    static final MessageCodec<Hello> CODEC =
            FieldsCodec.of(
                    TYPE,
                    Hello.class,
                    FIELDS,
                    (m, out) -> {
                        out.packString(m.router.value());
                        out.packLong(m.incarnation);
                        out.packString(m.domain.value());
                    },
                    f ->
                            new Hello(
                                    RouterId.of(f.text(MAX_ID_BYTES)),
                                    f.int64(),
                                    DomainId.of(f.text(MAX_ID_BYTES))));

    public Hello {
        checkNotNull(router, "router");
        checkArgument(incarnation >= 0, "incarnation %s", incarnation);
        checkNotNull(domain, "domain");
    }

    public static Hello of(RouterId router, long incarnation, DomainId domain) {
        return new Hello(router, incarnation, domain);
    }
}
