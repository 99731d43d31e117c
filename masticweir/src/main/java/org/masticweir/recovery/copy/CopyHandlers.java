package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.Reply;
import org.masticweir.recovery.copy.CopyMessage.AppendBatch;
import org.masticweir.recovery.copy.CopyMessage.AppendReplies;
import org.masticweir.recovery.copy.CopyMessage.FenceCopy;
import org.masticweir.recovery.copy.CopyMessage.FindCopy;
import org.masticweir.recovery.copy.CopyMessage.FoundCopy;
import org.masticweir.recovery.copy.CopyMessage.HolderReply;
import org.masticweir.recovery.copy.CopyMessage.ReadTokens;
import org.masticweir.recovery.copy.CopyMessage.Subscribe;
import org.masticweir.recovery.copy.CopyMessage.Subscribed;
import org.masticweir.recovery.copy.CopyMessage.TakeOverCopy;
import org.masticweir.recovery.copy.CopyMessage.WholeCopy;
import org.masticweir.recovery.copy.CopyMessage.WithdrawCopy;
import org.masticweir.time.Clock;

/** Answers other routers, as the holder of their copies and as the owner of requests. */
final class CopyHandlers {
    private static final Logger LOG = LogManager.getLogger(CopyHandlers.class);

    private final CopyStore store;
    private final OwnedRequests owned;
    private final Clock clock;
    private final HeldReads reads = new HeldReads();

    CopyHandlers(CopyStore store, OwnedRequests owned, Clock clock) {
        this.store = store;
        this.owned = owned;
        this.clock = clock;
    }

    void register(PeerLinks links) {
        links.on(WholeCopy.class, (from, m, reply) -> reply.send(new HolderReply(wholeCopy(m))));
        links.on(AppendBatch.class, (from, m, reply) -> appends(m, reply));
        links.on(FindCopy.class, (from, m, reply) -> reply.send(new FoundCopy(find(m.request()))));
        links.on(TakeOverCopy.class, this::takeOver);
        links.on(FenceCopy.class, (from, m, reply) -> reply.send(fence(m.request(), m.epoch())));
        links.on(WithdrawCopy.class, (from, m, reply) -> store.withdraw(m.request(), m.epoch()));
        links.on(Subscribe.class, (from, m, reply) -> subscribe(m, reply));
        links.on(ReadTokens.class, (from, m, reply) -> read(m, reply));
    }

    /** Returns what is known of the request here; an owner knows better than any copy. */
    Optional<CopySummary> find(RequestId request) {
        return owned.find(request)
                .map(o -> CopySummary.owned(o.epoch()))
                .or(() -> store.reads().find(request));
    }

    HolderAnswer takeOver(RequestId request, CopyEpoch expected, RouterId to) {
        HolderAnswer answer = store.takeOver(request, expected, to, clock.nowMs());
        LOG.info(
                "copy: take-over of {} from {} by {}, {}",
                request,
                expected.owner(),
                to,
                answer.getClass().getSimpleName());
        return answer;
    }

    HolderReply fence(RequestId request, CopyEpoch epoch) {
        return new HolderReply(store.fence(request, epoch, clock.nowMs()));
    }

    void answerReadsHeldFor(long ms) {
        reads.answerOlderThan(clock.nowMs() - ms);
    }

    private HolderAnswer wholeCopy(WholeCopy m) {
        GenerationCopy copy = m.copy();
        if (!m.opening()) {
            return store.apply(new CopyCommand.Replace(copy), clock.nowMs());
        }
        // The owner may be asked to hold a copy of its own request, which its store knows nothing
        // of: granted, the request would run a second time under another generation.
        Optional<CopyEpoch> own =
                owned.find(copy.request())
                        .filter(o -> !o.yieldsTo(copy.epoch()))
                        .map(OwnedAnswer::epoch);
        if (own.isPresent()) {
            return new HolderAnswer.HeldByOther(own.get());
        }
        return store.apply(new CopyCommand.Open(copy), clock.nowMs());
    }

    private void appends(AppendBatch m, Reply reply) {
        long nowMs = clock.nowMs();
        ImmutableList.Builder<HolderAnswer> answers = ImmutableList.builder();
        m.appends().forEach(a -> answers.add(store.apply(a, nowMs)));
        reply.send(new AppendReplies(answers.build()));
    }

    private void takeOver(RouterId from, TakeOverCopy m, Reply reply) {
        reply.send(new HolderReply(takeOver(m.request(), m.expected(), from)));
    }

    private void subscribe(Subscribe m, Reply reply) {
        OwnedAnswer answer = ownedOrFail(m.request());
        reply.send(new Subscribed(answer.spec(), answer.generation()));
    }

    private void read(ReadTokens m, Reply reply) {
        reads.read(m, ownedOrFail(m.request()).log(), reply, clock.nowMs());
    }

    private OwnedAnswer ownedOrFail(RequestId request) {
        return owned.find(request)
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.NOT_FOUND, "request not owned here"));
    }
}
