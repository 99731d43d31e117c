package org.masticweir.recovery.copy;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.masticweir.peer.Reply;
import org.masticweir.recovery.copy.CopyMessage.ReadTokens;
import org.masticweir.recovery.copy.CopyMessage.SubscribedTokens;

/**
 * The reads of other routers that wait for news of this router's answers.
 *
 * <p>Thread-safe: news comes on the threads of the requests, which only read the log and queue a
 * reply.
 */
final class HeldReads {
    /** Tokens in one answer; a reader that is far behind asks again at once. */
    private static final int MAX_TOKENS = 20_000;

    private final Set<HeldRead> held = ConcurrentHashMap.newKeySet();

    /** Answers the read now, or as soon as there is news. */
    void read(ReadTokens read, AnswerLog log, Reply reply, long nowMs) {
        HeldRead h = new HeldRead(read, log, reply, nowMs);
        held.add(h);
        log.listen(h);
        // News between the reader's question and listen() would otherwise wait for the next news.
        h.run();
    }

    /** Answers the reads held since before {@code beforeMs}: no news, but the owner lives. */
    void answerOlderThan(long beforeMs) {
        held.stream().filter(h -> h.sinceMs <= beforeMs).forEach(HeldRead::nothingNew);
    }

    int count() {
        return held.size();
    }

    /** One read; the first answer ends it. */
    private final class HeldRead implements Runnable {
        private final ReadTokens read;
        private final AnswerLog log;
        private final Reply reply;
        private final long sinceMs;

        HeldRead(ReadTokens read, AnswerLog log, Reply reply, long sinceMs) {
            this.read = read;
            this.log = log;
            this.reply = reply;
            this.sinceMs = sinceMs;
        }

        @Override
        public void run() {
            AnswerLog.View view = log.read(read.from(), MAX_TOKENS);
            int from = read.from();
            if (view.generation() != read.generation()) {
                // What the reader has is void: it gets the generation that replaced it from 0 on.
                from = 0;
                view = log.read(0, MAX_TOKENS);
            }
            ImmutableIntArray tokens = view.tokens();
            boolean whole = from + tokens.length() >= view.released();
            boolean ended = whole && view.end().isPresent();
            if (tokens.isEmpty() && !ended && view.generation() == read.generation()) {
                return;
            }
            answer(
                    new SubscribedTokens(
                            view.generation(),
                            from,
                            tokens,
                            view.end().filter((AnswerEnd e) -> whole)));
        }

        void nothingNew() {
            answer(SubscribedTokens.nothingNew(read.generation(), read.from()));
        }

        private void answer(SubscribedTokens tokens) {
            log.unlisten(this);
            if (held.remove(this)) {
                reply.send(tokens);
            }
        }
    }
}
