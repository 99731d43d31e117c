package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Iterables;
import com.google.common.collect.ListMultimap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;
import org.masticweir.time.Clock;

/**
 * A load under way: every call goes out at its planned time, whatever became of the others.
 *
 * <p>Routers are taken in turn, as a balancer would. Used by one thread.
 */
public final class LoadRun implements AutoCloseable {
    /** Time between the choice of a start and the start, so that no early call is late. */
    private static final long LEAD_MS = 200;

    private final Clock clock;
    private final LoadPlan plan;
    private final long startedAtMs;
    private final ScheduledExecutorService senders;
    private final ImmutableList<CompletableFuture<CallRecord>> answers;

    /** When calls came back, of each call's index the last time last; guarded by itself. */
    private final ListMultimap<Integer, Long> returnedAtMs = ArrayListMultimap.create();

    private LoadRun(
            CallerClient caller, Clock clock, List<InetSocketAddress> routers, LoadPlan plan) {
        this.clock = clock;
        this.plan = plan;
        startedAtMs = clock.nowMs() + LEAD_MS;
        senders =
                Executors.newSingleThreadScheduledExecutor(
                        new ThreadFactoryBuilder()
                                .setNameFormat("load-%d")
                                .setDaemon(true)
                                .build());
        ImmutableList.Builder<CompletableFuture<CallRecord>> sent = ImmutableList.builder();
        for (int i = 0; i < plan.calls().size(); i++) {
            sent.add(send(caller, routers, i));
        }
        answers = sent.build();
    }

    /** Starts the calls of {@code plan}, over {@code routers} in turn. */
    public static LoadRun start(
            CallerClient caller, Clock clock, List<InetSocketAddress> routers, LoadPlan plan) {
        checkArgument(!routers.isEmpty(), "no routers");
        return new LoadRun(caller, clock, routers, plan);
    }

    private CompletableFuture<CallRecord> send(
            CallerClient caller, List<InetSocketAddress> routers, int index) {
        CompletableFuture<CallRecord> answer = new CompletableFuture<>();
        long delayMs = startedAtMs + plan.calls().get(index).atMs() - clock.nowMs();
        schedule(delayMs, () -> submit(caller, routers, index, 0, answer));
        return answer;
    }

    private void submit(
            CallerClient caller,
            List<InetSocketAddress> routers,
            int index,
            int returns,
            CompletableFuture<CallRecord> answer) {
        InetSocketAddress router = routers.get((index + returns) % routers.size());
        CallRequest request = plan.calls().get(index).request();
        CompletableFuture<CallRecord> seen =
                returns == 0
                        ? caller.submitFirst(router, request, count -> {})
                        : caller.submit(router, request, count -> {});
        seen.thenAccept(
                record -> {
                    if (ObservedCall.mayReturn(record) && returns < plan.shape().maxReturns()) {
                        schedule(
                                record.retryAfterMs(),
                                () -> {
                                    noteReturn(index);
                                    submit(caller, routers, index, returns + 1, answer);
                                });
                    } else {
                        answer.complete(record);
                    }
                });
    }

    private void schedule(long delayMs, Runnable then) {
        if (!senders.isShutdown()) {
            senders.schedule(then, delayMs, MILLISECONDS);
        }
    }

    private void noteReturn(int index) {
        synchronized (returnedAtMs) {
            returnedAtMs.put(index, clock.nowMs());
        }
    }

    /** Returns when refused callers came back, on the caller's clock. */
    public ImmutableListMultimap<Integer, Long> returnedAtMs() {
        synchronized (returnedAtMs) {
            return ImmutableListMultimap.copyOf(returnedAtMs);
        }
    }

    /** Returns when the load started, on the caller's clock. */
    public long startedAtMs() {
        return startedAtMs;
    }

    /**
     * Waits for all calls, until {@code drainMs} after the last planned arrival at most.
     *
     * <p>The latencies of a caller that came back count from its last return.
     */
    public ImmutableList<ObservedCall> await(long drainMs) {
        CompletableFuture<Void> all =
                CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
        long planned = Math.round(plan.shape().seconds() * 1000);
        long leftMs = Math.max(1, startedAtMs + planned + drainMs - clock.nowMs());
        all.completeOnTimeout(null, leftMs, MILLISECONDS).join();
        long nowMs = clock.nowMs();
        ImmutableListMultimap<Integer, Long> returned = returnedAtMs();
        ImmutableList.Builder<ObservedCall> seen = ImmutableList.builder();
        for (int i = 0; i < answers.size(); i++) {
            PlannedCall call = plan.calls().get(i);
            List<Long> returns = returned.get(i);
            long intended = Iterables.getLast(returns, startedAtMs + call.atMs());
            CallRecord record = answers.get(i).getNow(null);
            seen.add(
                    record == null
                            ? ObservedCall.unfinished(call, intended, returns, nowMs)
                            : new ObservedCall(call, intended, returns, record));
        }
        return seen.build();
    }

    @Override
    public void close() {
        senders.shutdownNow();
    }
}
