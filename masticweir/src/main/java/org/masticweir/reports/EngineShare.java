package org.masticweir.reports;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.MessageCodec;
import org.masticweir.peer.PeerMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Tells a peer what was read of engines: news within a domain, an answer to another domain. */
public record EngineShare(ImmutableList<EngineDigest> digests) implements PeerMessage {
    /** Most engines in one message; more are told in several. */
    public static final int MAX_DIGESTS = 512;

    /** Writes and reads {@link EngineShare}. */
    public static final MessageCodec<EngineShare> CODEC = new Codec();

    /** Returns a message of at most {@link #MAX_DIGESTS} digests. */
    public static EngineShare of(List<EngineDigest> digests) {
        return new EngineShare(ImmutableList.copyOf(digests));
    }

    private static final class Codec implements MessageCodec<EngineShare> {
        private static final int TYPE = 66;
        private static final int FIELDS = 1;
        private static final int UNANSWERED_FIELDS = 1;
        private static final int BRIEF_FIELDS = 6;
        private static final int FULL_FIELDS = 7;
        private static final int MODEL_FIELDS = 3;
        private static final int MAX_MODELS = 64;
        private static final int MAX_NAME_BYTES = 256;

        /** Roles by their number on the wire; append only. */
        private static final List<EngineRole> ROLES =
                List.of(EngineRole.SERVING, EngineRole.LEAVING);

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public Class<EngineShare> messageType() {
            return EngineShare.class;
        }

        @Override
        public void encode(EngineShare m, MessagePacker out) throws IOException {
            out.packArrayHeader(FIELDS).packArrayHeader(m.digests.size());
            for (EngineDigest d : m.digests) {
                if (d.reading().isPresent()) {
                    pack(d.engine(), d.reading().get(), out);
                } else {
                    out.packArrayHeader(UNANSWERED_FIELDS).packString(d.engine().value());
                }
            }
        }

        private static void pack(EngineId id, EngineReading r, MessagePacker out)
                throws IOException {
            out.packArrayHeader(r.holdings().isPresent() ? FULL_FIELDS : BRIEF_FIELDS);
            out.packString(id.value()).packLong(r.ageMs());
            LoadReport load = r.load();
            out.packInt(load.running()).packInt(load.waiting()).packInt(load.capacity());
            out.packInt(ROLES.indexOf(r.role()));
            if (r.holdings().isPresent()) {
                out.packArrayHeader(r.holdings().get().models().size());
                for (ModelVersion v : r.holdings().get().models()) {
                    out.packArrayHeader(MODEL_FIELDS).packString(v.model().value());
                    out.packString(v.version()).packString(v.adapter());
                }
            }
        }

        @Override
        public EngineShare decode(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, FIELDS)) {
                return new EngineShare(f.list(MAX_DIGESTS, Codec::digest));
            }
        }

        private static EngineDigest digest(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, UNANSWERED_FIELDS)) {
                EngineId id = EngineId.of(f.text(MAX_NAME_BYTES));
                return f.hasMore() ? EngineDigest.of(id, reading(f)) : EngineDigest.unanswered(id);
            }
        }

        private static EngineReading reading(Fields f) throws IOException {
            long ageMs = f.int64();
            LoadReport load = LoadReport.of(f.int32(), f.int32(), f.int32());
            EngineRole role = ROLES.get(f.int32());
            Optional<EngineHoldings> holdings = Optional.empty();
            if (f.hasMore()) {
                ImmutableList<ModelVersion> models = f.list(MAX_MODELS, Codec::model);
                holdings = Optional.of(EngineHoldings.of(ImmutableSet.copyOf(models), role));
            }
            return new EngineReading(ageMs, load, role, holdings);
        }

        private static ModelVersion model(MessageUnpacker in) throws IOException {
            try (Fields f = Fields.open(in, MODEL_FIELDS)) {
                ModelId id = ModelId.of(f.text(MAX_NAME_BYTES));
                return ModelVersion.of(id, f.text(MAX_NAME_BYTES), f.text(MAX_NAME_BYTES));
            }
        }
    }
}
