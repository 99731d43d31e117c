package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerLog;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.LinkCounters;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.recovery.copy.CopyMessage.AppendReplies;
import org.masticweir.recovery.copy.CopyMessage.FenceCopy;
import org.masticweir.recovery.copy.CopyMessage.FindCopy;
import org.masticweir.recovery.copy.CopyMessage.FoundCopy;
import org.masticweir.recovery.copy.CopyMessage.HolderReply;
import org.masticweir.recovery.copy.CopyMessage.Subscribe;
import org.masticweir.recovery.copy.CopyMessage.Subscribed;
import org.masticweir.recovery.copy.CopyMessage.TakeOverCopy;
import org.masticweir.recovery.copy.CopyMessage.WholeCopy;
import org.masticweir.recovery.copy.CopyMessage.WithdrawCopy;
import org.masticweir.time.Clock;

/**
 * Copies over the links between routers, for owners, holders and returning callers.
 *
 * <p>Register the {@link CopyMessageCodecs} with the links, open this before the links start, and
 * call {@link #tick} a few times a second. Thread-safe; events come on the links' thread, or on the
 * caller's before its call returns, so the receiver passes them to the request's own thread.
 */
public final class CopyLinks {
    private final PeerLinks links;
    private final RouterId self;
    private final CopyStore store;
    private final Clock clock;
    private final CopyLinkLimits limits;
    private final CopyHandlers handlers;
    private final ConcurrentMap<RouterId, AppendQueue> queues = new ConcurrentHashMap<>();
    private final HolderWatch watch = new HolderWatch();
    private final LongAdder tokens = new LongAdder();
    private final LongAdder appends = new LongAdder();
    private final LongAdder batches = new LongAdder();

    private CopyLinks(
            PeerLinks links,
            RouterId self,
            CopyStore store,
            OwnedRequests owned,
            Clock clock,
            CopyLinkLimits limits) {
        this.links = checkNotNull(links, "links");
        this.self = checkNotNull(self, "self");
        this.store = checkNotNull(store, "store");
        this.clock = checkNotNull(clock, "clock");
        this.limits = checkNotNull(limits, "limits");
        handlers = new CopyHandlers(store, checkNotNull(owned, "owned"), clock);
    }

    /** Registers the handlers of all copy messages with {@code links}. */
    public static CopyLinks open(
            PeerLinks links,
            RouterId self,
            CopyStore store,
            OwnedRequests owned,
            Clock clock,
            CopyLinkLimits limits) {
        CopyLinks copies = new CopyLinks(links, self, store, owned, clock, limits);
        copies.handlers.register(links);
        links.listen(copies.watch);
        return copies;
    }

    /** Sends one command to its holder and passes its answer, or the holder's loss, on. */
    public void send(CopyAction.SendToHolder action, Consumer<CopyEvent> events) {
        RouterId holder = action.holder();
        if (action.command() instanceof CopyCommand.Append append) {
            AppendQueue queue = queues.computeIfAbsent(holder, h -> newQueue());
            AppendQueue.Entry entry = new AppendQueue.Entry(append, action.number(), events);
            carryOut(holder, queue, queue.add(entry, clock.nowMs()));
            return;
        }
        ask(holder, whole(action.command()))
                .whenComplete(
                        (reply, error) -> {
                            if (reply instanceof HolderReply r) {
                                events.accept(
                                        new CopyEvent.Answered(
                                                holder, action.number(), r.answer()));
                            } else if (!isSilence(error)) {
                                events.accept(new CopyEvent.HolderLost(holder));
                            }
                        });
    }

    /** Has {@code holder} forget a copy of which nothing ran; a best effort. */
    void withdraw(RouterId holder, RequestId request, CopyEpoch epoch) {
        links.send(holder, new WithdrawCopy(request, epoch));
    }

    /** Tells whether this router holds a copy of {@code request}, or knows of its owner by one. */
    public boolean holds(RequestId request) {
        return store.reads().find(request).isPresent();
    }

    /** Tells all owners here that {@code holder} is dead, as membership found it. */
    public void lost(RouterId holder) {
        watch.lost(holder);
    }

    HolderWatch watch() {
        return watch;
    }

    /** Carries out one question of a lookup; what concerns this router itself is answered here. */
    public void carryOut(RequestId request, LookupAction action, Consumer<LookupEvent> events) {
        if (action instanceof LookupAction.Find find) {
            find(request, find.router(), events);
        } else if (action instanceof LookupAction.Subscribe subscribe) {
            subscribe(request, subscribe.epoch().owner(), events);
        } else if (action instanceof LookupAction.TakeOver t) {
            if (t.holder().equals(self)) {
                HolderAnswer answer = handlers.takeOver(request, t.expected(), self);
                events.accept(new LookupEvent.HolderAnswered(self, answer));
            } else {
                askHolder(t.holder(), new TakeOverCopy(request, t.expected()), events);
            }
        } else {
            checkArgument(action instanceof LookupAction.Fence, "not a question: %s", action);
            LookupAction.Fence f = (LookupAction.Fence) action;
            if (f.candidate().equals(self)) {
                HolderAnswer answer = handlers.fence(request, f.epoch()).answer();
                events.accept(new LookupEvent.HolderAnswered(self, answer));
            } else {
                askHolder(f.candidate(), new FenceCopy(request, f.epoch()), events);
            }
        }
    }

    /**
     * Reads the owner's answer into {@code log} until its end.
     *
     * @param onLost runs once, on the links' thread, when the owner no longer answers or was
     *     replaced; look the request up again, and go on with the same log
     */
    public RemoteAnswer follow(RouterId owner, RequestId request, AnswerLog log, Runnable onLost) {
        long timeoutMs = limits.holdMs() + limits.askTimeoutMs();
        RemoteAnswer answer = new RemoteAnswer(links, owner, request, log, timeoutMs, onLost);
        answer.ask();
        return answer;
    }

    /** Forgets copies past their time and answers readers that have waited long without news. */
    public void tick() {
        store.expire(clock.nowMs());
        handlers.answerReadsHeldFor(limits.holdMs());
        queues.values().removeIf(AppendQueue::idle);
    }

    /** Returns what copying tokens has cost so far, frame headers and replies included. */
    public CopyTraffic traffic() {
        LinkCounters counters = links.counters();
        long bytes =
                counters.type(CopyMessageCodecs.APPEND_BATCH).bytesOut()
                        + counters.type(CopyMessageCodecs.APPEND_REPLIES).bytesIn();
        return new CopyTraffic(tokens.sum(), appends.sum(), batches.sum(), bytes);
    }

    private AppendQueue newQueue() {
        return new AppendQueue(limits.batchTokens(), () -> limits.paceMs(queues.size()));
    }

    private void carryOut(RouterId holder, AppendQueue queue, AppendQueue.Turn turn) {
        turn.batch().ifPresent(b -> sendBatch(holder, queue, b));
        turn.wakeUpMs().ifPresent(ms -> links.executeAfter(() -> wakeUp(holder, queue), ms));
    }

    private void wakeUp(RouterId holder, AppendQueue queue) {
        carryOut(holder, queue, queue.wokenUp(clock.nowMs()));
    }

    private void sendBatch(RouterId holder, AppendQueue queue, AppendQueue.Batch batch) {
        CopyMessage.AppendBatch message = batch.message(self);
        tokens.add(message.tokens());
        appends.add(message.appends().size());
        batches.increment();
        ask(holder, message)
                .whenComplete(
                        (reply, error) -> {
                            AppendQueue.Turn next = queue.next(clock.nowMs());
                            if (reply instanceof AppendReplies r) {
                                batch.answered(holder, r.answers());
                            } else if (!isSilence(error)) {
                                batch.lost(holder);
                            }
                            carryOut(holder, queue, next);
                        });
    }

    private static CopyMessage whole(CopyCommand command) {
        return command instanceof CopyCommand.Open open
                ? new WholeCopy(true, open.copy())
                : new WholeCopy(false, ((CopyCommand.Replace) command).copy());
    }

    private void find(RequestId request, RouterId router, Consumer<LookupEvent> events) {
        if (router.equals(self)) {
            events.accept(new LookupEvent.FindAnswered(self, handlers.find(request)));
            return;
        }
        askFor(
                FoundCopy.class,
                router,
                new FindCopy(request),
                (from, found) -> events.accept(new LookupEvent.FindAnswered(from, found.summary())),
                () -> events.accept(new LookupEvent.FindFailed(router)));
    }

    private void subscribe(RequestId request, RouterId owner, Consumer<LookupEvent> events) {
        askFor(
                Subscribed.class,
                owner,
                new Subscribe(request),
                (from, s) ->
                        events.accept(new LookupEvent.Subscribed(from, s.spec(), s.generation())),
                () -> events.accept(new LookupEvent.SubscribeFailed(owner)));
    }

    private void askHolder(RouterId holder, CopyMessage question, Consumer<LookupEvent> events) {
        askFor(
                HolderReply.class,
                holder,
                question,
                (from, r) -> events.accept(new LookupEvent.HolderAnswered(from, r.answer())),
                () -> events.accept(new LookupEvent.HolderFailed(holder)));
    }

    private <T extends CopyMessage> void askFor(
            Class<T> type,
            RouterId router,
            CopyMessage question,
            BiConsumer<RouterId, T> answered,
            Runnable failed) {
        ask(router, question)
                .whenComplete(
                        (reply, error) -> {
                            if (type.isInstance(reply)) {
                                answered.accept(router, type.cast(reply));
                            } else {
                                failed.run();
                            }
                        });
    }

    private CompletableFuture<PeerMessage> ask(RouterId to, CopyMessage message) {
        try {
            return links.ask(to, message, limits.askTimeoutMs());
        } catch (MasticweirException e) {
            // A copy too long for one frame: no holder can take it, which shows like a lost one.
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Tells whether a command failed by time alone.
     *
     * <p>After a pause of this process all time-outs fire at once, whatever the holders sent. Only
     * the sender's own bounds, which know of the pause, may take silence for a loss.
     */
    private static boolean isSilence(Throwable error) {
        Throwable cause = error instanceof CompletionException c ? c.getCause() : error;
        return cause instanceof MasticweirException e && e.code() == ErrorCode.DEADLINE_EXCEEDED;
    }
}
