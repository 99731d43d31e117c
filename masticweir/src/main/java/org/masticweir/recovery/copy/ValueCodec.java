package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.peer.Fields;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads the values inside copy messages, each as one MessagePack array.
 *
 * <p>A value that may be absent is a list of none or one.
 */
final class ValueCodec {
    static final int MAX_ID_BYTES = 256;
    static final int MAX_TEXT_BYTES = 1 << 20;
    static final int MAX_TOKENS = 1 << 18;

    private static final long NO_RETRY = -1;
    private static final int EPOCH_FIELDS = 2;
    private static final int SPEC_FIELDS = 9;
    private static final int GENERATION_FIELDS = 5;
    private static final int PLACEMENT_FIELDS = 4;
    private static final int END_FIELDS = 5;
    private static final int COPY_FIELDS = 7;

    private ValueCodec() {}

    static void tokens(MessagePacker out, ImmutableIntArray tokens) throws IOException {
        out.packArrayHeader(tokens.length());
        for (int i = 0; i < tokens.length(); i++) {
            out.packInt(tokens.get(i));
        }
    }

    static ImmutableIntArray tokens(Fields f) throws IOException {
        List<Integer> ids = f.list(MAX_TOKENS, MessageUnpacker::unpackInt);
        return ImmutableIntArray.copyOf(ids);
    }

    /** Writes a nested value as a list of one. */
    static <T> void one(MessagePacker out, T value, ItemWriter<T> item) throws IOException {
        out.packArrayHeader(1);
        item.write(out, value);
    }

    static <T> void optional(MessagePacker out, Optional<T> value, ItemWriter<T> item)
            throws IOException {
        if (value.isEmpty()) {
            out.packArrayHeader(0);
        } else {
            one(out, value.get(), item);
        }
    }

    static <T> T one(Fields f, Fields.ItemReader<T> item) throws IOException {
        return f.list(1, item).get(0);
    }

    static <T> Optional<T> optional(Fields f, Fields.ItemReader<T> item) throws IOException {
        ImmutableList<T> list = f.list(1, item);
        return list.stream().findFirst();
    }

    static void epoch(MessagePacker out, CopyEpoch e) throws IOException {
        out.packArrayHeader(EPOCH_FIELDS);
        out.packInt(e.number());
        out.packString(e.owner().value());
    }

    static CopyEpoch epoch(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, EPOCH_FIELDS)) {
            int number = f.int32();
            return new CopyEpoch(number, RouterId.of(f.text(MAX_ID_BYTES)));
        }
    }

    static void spec(MessagePacker out, RequestSpec s) throws IOException {
        out.packArrayHeader(SPEC_FIELDS);
        out.packString(s.id().value());
        out.packString(s.team().value());
        out.packString(s.workClass().value());
        out.packString(s.model().value());
        out.packBoolean(s.idempotent());
        tokens(out, s.prompt());
        out.packString(s.input());
        out.packInt(s.maxTokens());
        out.packBoolean(s.allowReset());
    }

    static RequestSpec spec(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, SPEC_FIELDS)) {
            return new RequestSpec(
                    RequestId.of(f.text(MAX_ID_BYTES)),
                    TeamId.of(f.text(MAX_ID_BYTES)),
                    WorkClassId.of(f.text(MAX_ID_BYTES)),
                    ModelId.of(f.text(MAX_ID_BYTES)),
                    f.bool(),
                    tokens(f),
                    f.text(MAX_TEXT_BYTES),
                    f.int32(),
                    f.bool());
        }
    }

    static void generation(MessagePacker out, GenerationSpec g) throws IOException {
        out.packArrayHeader(GENERATION_FIELDS);
        out.packString(g.id().request().value());
        out.packInt(g.id().number());
        out.packString(g.version());
        out.packString(g.adapter());
        out.packLong(g.seed());
    }

    static GenerationSpec generation(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, GENERATION_FIELDS)) {
            RequestId request = RequestId.of(f.text(MAX_ID_BYTES));
            GenerationId id = GenerationId.of(request, f.int32());
            String version = f.text(MAX_TEXT_BYTES);
            return new GenerationSpec(id, version, f.text(MAX_TEXT_BYTES), f.int64());
        }
    }

    static void placement(MessagePacker out, Placement p) throws IOException {
        out.packArrayHeader(PLACEMENT_FIELDS);
        out.packString(p.attempt().generation().request().value());
        out.packInt(p.attempt().generation().number());
        out.packInt(p.attempt().number());
        out.packString(p.engine().value());
    }

    static Placement placement(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, PLACEMENT_FIELDS)) {
            RequestId request = RequestId.of(f.text(MAX_ID_BYTES));
            GenerationId generation = GenerationId.of(request, f.int32());
            AttemptId attempt = AttemptId.of(generation, f.int32());
            return new Placement(attempt, EngineId.of(f.text(MAX_ID_BYTES)));
        }
    }

    /** Writes how an answer ended: the code is empty for one that is whole. */
    static void end(MessagePacker out, AnswerEnd end) throws IOException {
        out.packArrayHeader(END_FIELDS);
        if (end instanceof AnswerEnd.Completed completed) {
            out.packBoolean(true);
            out.packString(completed.result());
            out.packString("");
            out.packString("");
            out.packLong(NO_RETRY);
            return;
        }
        MasticweirException error = ((AnswerEnd.Failed) end).error();
        out.packBoolean(false);
        out.packString(String.valueOf(error.getMessage()));
        out.packString(error.code().name());
        out.packString(error.verdict().name());
        out.packLong(error.retryAfterMs().orElse(NO_RETRY));
    }

    static AnswerEnd end(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, END_FIELDS)) {
            boolean completed = f.bool();
            String text = f.text(MAX_TEXT_BYTES);
            if (completed) {
                return new AnswerEnd.Completed(text);
            }
            ErrorCode code = ErrorCode.valueOf(f.text(MAX_ID_BYTES));
            Verdict verdict = Verdict.valueOf(f.text(MAX_ID_BYTES));
            MasticweirException error = MasticweirException.of(code, verdict, text);
            long retryMs = f.int64();
            return new AnswerEnd.Failed(retryMs == NO_RETRY ? error : error.retryAfterMs(retryMs));
        }
    }

    static void copy(MessagePacker out, GenerationCopy c) throws IOException {
        out.packArrayHeader(COPY_FIELDS);
        one(out, c.epoch(), ValueCodec::epoch);
        one(out, c.spec(), ValueCodec::spec);
        one(out, c.generation(), ValueCodec::generation);
        optional(out, c.placement(), ValueCodec::placement);
        tokens(out, c.tokens());
        optional(out, c.end(), ValueCodec::end);
        out.packLong(c.ageMs());
    }

    static GenerationCopy copy(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, COPY_FIELDS)) {
            return new GenerationCopy(
                    one(f, ValueCodec::epoch),
                    one(f, ValueCodec::spec),
                    one(f, ValueCodec::generation),
                    optional(f, ValueCodec::placement),
                    tokens(f),
                    optional(f, ValueCodec::end),
                    f.int64());
        }
    }

    /** Writes one value. */
    @FunctionalInterface
    interface ItemWriter<T> {
        void write(MessagePacker out, T value) throws IOException;
    }
}
