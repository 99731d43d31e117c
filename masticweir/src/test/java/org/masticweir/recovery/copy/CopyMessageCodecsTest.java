package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.masticweir.recovery.copy.Samples.A;
import static org.masticweir.recovery.copy.Samples.FIRST;
import static org.masticweir.recovery.copy.Samples.REQUEST;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableIntArray;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.peer.MessageCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests {@link CopyMessageCodecs}. */
final class CopyMessageCodecsTest {
    private static final Optional<AnswerEnd> WHOLE = Optional.of(new AnswerEnd.Completed("done"));

    private static GenerationCopy fullCopy() {
        GenerationCopy c = Samples.copy(FIRST, 0, 70_000, Integer.MAX_VALUE);
        Optional<Placement> placement = Optional.of(Samples.placement(3, "e1"));
        return new GenerationCopy(
                c.epoch(), c.spec(), c.generation(), placement, c.tokens(), WHOLE, 77);
    }

    @SuppressWarnings("unchecked") // The registry pairs each codec with its own message class.
    private static <T extends CopyMessage> T roundTrip(T message) throws IOException {
        MessageCodec<T> codec =
                (MessageCodec<T>)
                        CopyMessageCodecs.all().stream()
                                .filter(c -> c.messageType().isInstance(message))
                                .findFirst()
                                .orElseThrow();
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            codec.encode(message, out);
            return codec.decode(MessagePack.newDefaultUnpacker(out.toByteArray()));
        }
    }

    @Test
    void everyMessageSurvivesTheWire() throws IOException {
        CopyCommand.Append append =
                new CopyCommand.Append(
                        REQUEST,
                        FIRST,
                        2,
                        5,
                        ImmutableIntArray.of(1, 2),
                        Optional.of(Samples.placement(2, "e2")),
                        WHOLE);
        ImmutableList<HolderAnswer> answers =
                ImmutableList.of(
                        new HolderAnswer.Granted(),
                        new HolderAnswer.HeldByOther(FIRST),
                        new HolderAnswer.Acked(2, 9),
                        new HolderAnswer.StaleEpoch(FIRST),
                        new HolderAnswer.Missing(),
                        new HolderAnswer.Full(),
                        new HolderAnswer.Moved(FIRST, Optional.of(fullCopy())),
                        new HolderAnswer.Moved(FIRST, Optional.empty()));
        CopySummary summary = new CopySummary(FIRST, true, 2, 9, true);
        List<CopyMessage> all =
                List.of(
                        new CopyMessage.WholeCopy(true, fullCopy()),
                        new CopyMessage.AppendBatch(
                                A, ImmutableList.of(append, Samples.append(FIRST, 0, 4))),
                        new CopyMessage.AppendReplies(answers),
                        new CopyMessage.HolderReply(answers.get(6)),
                        new CopyMessage.FindCopy(REQUEST),
                        new CopyMessage.FoundCopy(Optional.of(summary)),
                        new CopyMessage.FoundCopy(Optional.empty()),
                        new CopyMessage.TakeOverCopy(REQUEST, FIRST),
                        new CopyMessage.FenceCopy(REQUEST, FIRST),
                        new CopyMessage.Subscribe(REQUEST),
                        new CopyMessage.Subscribed(
                                Samples.spec(REQUEST), Samples.generation(REQUEST, 2)),
                        new CopyMessage.ReadTokens(REQUEST, 2, 8),
                        new CopyMessage.SubscribedTokens(2, 8, ImmutableIntArray.of(6), WHOLE),
                        new CopyMessage.WithdrawCopy(REQUEST, FIRST),
                        new CopyMessage.RegisterKey(REQUEST, A, true),
                        new CopyMessage.KeyOwner(A),
                        new CopyMessage.ReleaseKey(REQUEST, A, false));
        for (CopyMessage m : all) {
            assertEquals(m, roundTrip(m));
        }
    }

    @Test
    void aFinalErrorKeepsCodeVerdictAndAdvice() throws IOException {
        MasticweirException error =
                MasticweirException.of(ErrorCode.ENGINE_LOST, Verdict.MAY_HAVE_RUN, "gone")
                        .retryAfterMs(250);
        CopyMessage.SubscribedTokens read =
                roundTrip(
                        new CopyMessage.SubscribedTokens(
                                1,
                                0,
                                ImmutableIntArray.of(),
                                Optional.of(new AnswerEnd.Failed(error))));
        MasticweirException back = ((AnswerEnd.Failed) read.end().orElseThrow()).error();
        assertEquals(ErrorCode.ENGINE_LOST, back.code());
        assertEquals(Verdict.MAY_HAVE_RUN, back.verdict());
        assertEquals("gone", back.getMessage());
        assertEquals(250, back.retryAfterMs().orElseThrow());
    }
}
