package org.masticweir.peer;

/** Asks the other side of a link for a sign of life; the links answer it with another. */
record Probe() implements PeerMessage {
    private static final int TYPE = 3;

    static final MessageCodec<Probe> CODEC =
            FieldsCodec.of(TYPE, Probe.class, 0, (m, out) -> {}, f -> new Probe());
}
