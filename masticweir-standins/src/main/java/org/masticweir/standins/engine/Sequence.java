package org.masticweir.standins.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;

/**
 * One run of a generation: from admission over the batch until it is forgotten.
 *
 * <p>Not thread-safe: the engine's lock guards it.
 */
final class Sequence {
    /** Waiting sequences enter the batch in this order. */
    static final Comparator<Sequence> BY_PRIORITY_THEN_ARRIVAL =
            Comparator.<Sequence>comparingInt(s -> s.request.priority())
                    .thenComparingLong(s -> s.arrival);

    private static final int[] NOT_STAMPED = {};

    private final GenerationRequest request;
    private final EngineRecords.Run run;
    private final long arrival;
    private final BlockChain chain;
    private final ImmutableList<String> promptBlocks;
    private final int[] stamps;
    private int prefillLeft;
    private int next;
    private int attempt;
    private boolean stopped;
    private Optional<StreamReader> reader = Optional.empty();
    private long unreadSinceMs;

    private Sequence(
            GenerationRequest request,
            EngineRecords.Run run,
            long arrival,
            long unreadSinceMs,
            boolean stamped) {
        this.request = checkNotNull(request, "request");
        this.run = checkNotNull(run, "run");
        this.arrival = arrival;
        this.unreadSinceMs = unreadSinceMs;
        this.stamps = stamped ? new int[request.maxTokens()] : NOT_STAMPED;
        this.next = request.prefix().size();
        this.attempt = request.attempt();
        this.chain = BlockChain.of(request.wanted());
        this.promptBlocks = blocks();
        this.prefillLeft = request.prompt().size() + request.prefix().size();
    }

    /**
     * Returns an admitted sequence, the {@code arrival}-th of its engine.
     *
     * @param stamped whether its tokens tell when they were computed
     */
    static Sequence admitted(
            GenerationRequest request,
            EngineRecords.Run run,
            long arrival,
            long nowMs,
            boolean stamped) {
        return new Sequence(request, run, arrival, nowMs, stamped);
    }

    private ImmutableList<String> blocks() {
        ImmutableList.Builder<String> names = ImmutableList.builder();
        request.prompt().forEach(token -> chain.append(token).ifPresent(names::add));
        request.prefix().forEach(token -> chain.append(token).ifPresent(names::add));
        return names.build();
    }

    GenerationRequest request() {
        return request;
    }

    EngineRecords.Run run() {
        return run;
    }

    /** Returns the prefixes that the prompt and the accepted tokens fill. */
    ImmutableList<String> promptBlocks() {
        return promptBlocks;
    }

    int prefillLeft() {
        return prefillLeft;
    }

    /** Takes {@code tokens} off the prefill still to do; returns whether that was the last. */
    boolean prefill(int tokens) {
        prefillLeft -= tokens;
        return prefillLeft == 0;
    }

    /** Computes one token and returns the name of the prefix it completes, if it fills a block. */
    Optional<String> decode() {
        if (stamps.length > 0) {
            stamps[next] = TokenStamp.now();
        }
        int token = token(next);
        next++;
        return chain.append(token);
    }

    /** Returns the token at {@code index}, which the caller gave or the engine computed. */
    int token(int index) {
        if (index < request.prefix().size()) {
            return request.prefix().get(index);
        }
        return stamps.length > 0 ? stamps[index] : TokenSource.token(request.seed(), index);
    }

    int next() {
        return next;
    }

    boolean done() {
        return next >= request.maxTokens();
    }

    void stop() {
        stopped = true;
    }

    boolean stopped() {
        return stopped;
    }

    /** Returns the highest attempt number under which this run was started or read. */
    int attempt() {
        return attempt;
    }

    void raiseAttempt(int value) {
        attempt = Math.max(attempt, value);
    }

    Optional<StreamReader> reader() {
        return reader;
    }

    void attach(StreamReader value) {
        reader = Optional.of(value);
    }

    void detach(long nowMs) {
        reader = Optional.empty();
        unreadSinceMs = nowMs;
    }

    /** Tells whether nobody has read for longer than {@code keepMs}. */
    boolean abandoned(long nowMs, long keepMs) {
        return reader.isEmpty() && nowMs - unreadSinceMs > keepMs;
    }
}
