package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.util.Optional;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Fields;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads appends, holders' answers and summaries. */
final class HolderCodec {
    private static final int APPEND_FIELDS = 7;
    private static final int ANSWER_FIELDS = 5;
    private static final int SUMMARY_FIELDS = 5;

    private HolderCodec() {}

    /** Writes an append without its owner, which is the same for all of a batch. */
    static void append(MessagePacker out, CopyCommand.Append a) throws IOException {
        out.packArrayHeader(APPEND_FIELDS);
        out.packString(a.request().value());
        out.packInt(a.epoch().number());
        out.packInt(a.generation());
        out.packInt(a.from());
        ValueCodec.tokens(out, a.tokens());
        ValueCodec.optional(out, a.placement(), ValueCodec::placement);
        ValueCodec.optional(out, a.end(), ValueCodec::end);
    }

    static CopyCommand.Append append(MessageUnpacker in, RouterId owner) throws IOException {
        try (Fields f = Fields.open(in, APPEND_FIELDS)) {
            RequestId request = RequestId.of(f.text(ValueCodec.MAX_ID_BYTES));
            CopyEpoch epoch = new CopyEpoch(f.int32(), owner);
            int generation = f.int32();
            int from = f.int32();
            ImmutableIntArray tokens = ValueCodec.tokens(f);
            Optional<Placement> placement = ValueCodec.optional(f, ValueCodec::placement);
            Optional<AnswerEnd> end = ValueCodec.optional(f, ValueCodec::end);
            return new CopyCommand.Append(request, epoch, generation, from, tokens, placement, end);
        }
    }

    static void answer(MessagePacker out, HolderAnswer answer) throws IOException {
        Kind kind = Kind.of(answer);
        int generation = 0;
        int upTo = 0;
        if (answer instanceof HolderAnswer.Acked acked) {
            generation = acked.generation();
            upTo = acked.upTo();
        }
        out.packArrayHeader(ANSWER_FIELDS);
        out.packInt(kind.number);
        out.packInt(generation);
        out.packInt(upTo);
        ValueCodec.optional(out, epochOf(answer), ValueCodec::epoch);
        ValueCodec.optional(out, copyOf(answer), ValueCodec::copy);
    }

    static HolderAnswer answer(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, ANSWER_FIELDS)) {
            Kind kind = Kind.numbered(f.int32());
            int generation = f.int32();
            int upTo = f.int32();
            Optional<CopyEpoch> epoch = ValueCodec.optional(f, ValueCodec::epoch);
            Optional<GenerationCopy> copy = ValueCodec.optional(f, ValueCodec::copy);
            return switch (kind) {
                case GRANTED -> new HolderAnswer.Granted();
                case HELD_BY_OTHER -> new HolderAnswer.HeldByOther(epoch.orElseThrow());
                case ACKED -> new HolderAnswer.Acked(generation, upTo);
                case STALE_EPOCH -> new HolderAnswer.StaleEpoch(epoch.orElseThrow());
                case MISSING -> new HolderAnswer.Missing();
                case FULL -> new HolderAnswer.Full();
                case MOVED -> new HolderAnswer.Moved(epoch.orElseThrow(), copy);
            };
        }
    }

    static void summary(MessagePacker out, CopySummary s) throws IOException {
        out.packArrayHeader(SUMMARY_FIELDS);
        ValueCodec.one(out, s.epoch(), ValueCodec::epoch);
        out.packBoolean(s.held());
        out.packInt(s.generation());
        out.packInt(s.tokens());
        out.packBoolean(s.ended());
    }

    static CopySummary summary(MessageUnpacker in) throws IOException {
        try (Fields f = Fields.open(in, SUMMARY_FIELDS)) {
            CopyEpoch epoch = ValueCodec.one(f, ValueCodec::epoch);
            return new CopySummary(epoch, f.bool(), f.int32(), f.int32(), f.bool());
        }
    }

    private static Optional<CopyEpoch> epochOf(HolderAnswer answer) {
        if (answer instanceof HolderAnswer.HeldByOther held) {
            return Optional.of(held.epoch());
        }
        if (answer instanceof HolderAnswer.StaleEpoch stale) {
            return Optional.of(stale.current());
        }
        return answer instanceof HolderAnswer.Moved m ? Optional.of(m.epoch()) : Optional.empty();
    }

    private static Optional<GenerationCopy> copyOf(HolderAnswer answer) {
        return answer instanceof HolderAnswer.Moved moved ? moved.copy() : Optional.empty();
    }

    /** The answers by their numbers on the wire, which never change. */
    private enum Kind {
        GRANTED(1, HolderAnswer.Granted.class),
        HELD_BY_OTHER(2, HolderAnswer.HeldByOther.class),
        ACKED(3, HolderAnswer.Acked.class),
        STALE_EPOCH(4, HolderAnswer.StaleEpoch.class),
        MISSING(5, HolderAnswer.Missing.class),
        FULL(6, HolderAnswer.Full.class),
        MOVED(7, HolderAnswer.Moved.class);

        private final int number;
        private final Class<? extends HolderAnswer> type;

        Kind(int number, Class<? extends HolderAnswer> type) {
            this.number = number;
            this.type = type;
        }

        static Kind of(HolderAnswer answer) {
            for (Kind k : values()) {
                if (k.type.isInstance(answer)) {
                    return k;
                }
            }
            throw new IllegalArgumentException("answer " + answer.getClass());
        }

        static Kind numbered(int number) {
            checkArgument(number >= 1 && number <= values().length, "answer kind %s", number);
            return values()[number - 1];
        }
    }
}
