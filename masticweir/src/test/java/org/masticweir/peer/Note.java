package org.masticweir.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** A message for tests of the links. */
record Note(int number, String text) implements PeerMessage {
    static final int TYPE = 100;
    static final int MAX_TEXT_BYTES = 100_000;

    /** Writes and reads a note, with as many trailing fields as a later version would add. */
    record Codec(int type, int extraFields) implements MessageCodec<Note> {
        static Codec plain() {
            return new Codec(TYPE, 0);
        }

        @Override
        public Class<Note> messageType() {
            return Note.class;
        }

        @Override
        public void encode(Note m, MessagePacker out) throws IOException {
            out.packArrayHeader(2 + extraFields);
            out.packInt(m.number).packString(m.text);
            for (int i = 0; i < extraFields; i++) {
                out.packArrayHeader(1).packString("later");
            }
        }

        @Override
        public Note decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, 2)) {
                return new Note(f.int32(), f.text(MAX_TEXT_BYTES));
            }
        }
    }
}
