package org.masticweir.bench.copies;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyLinkLimits;
import org.masticweir.recovery.copy.CopyTraffic;
import org.masticweir.recovery.copy.HolderRanking;
import org.masticweir.recovery.copy.RequestThread;
import org.masticweir.time.Clock;

/** One measurement: an owner with many streams, whose copies are spread over its holders. */
final class CopyRun implements AutoCloseable {
    private static final String OWNER = "owner";
    private static final String HOLDER = "holder-";
    private static final String LINKS_THREAD = "peer-links-";
    private static final String REQUEST_THREAD = "copies-requests";
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;

    private final Clock clock = Clock.system();
    private final Histogram releaseUs = new Histogram(HISTOGRAM_DIGITS);
    private final ScheduledExecutorService requests =
            Executors.newSingleThreadScheduledExecutor(
                    new ThreadFactoryBuilder().setNameFormat(REQUEST_THREAD).build());
    private final int framesBound;
    private final CopyNode owner;
    private final ImmutableList<CopyNode> holders;
    private final ImmutableList<CopiedStream> streams;

    CopyRun(int holderCount, int streamCount, CopyLinkLimits limits) {
        framesBound = limits.framesPerS();
        owner = CopyNode.start(OWNER, limits, clock);
        holders =
                IntStream.range(0, holderCount)
                        .mapToObj(i -> CopyNode.start(HOLDER + i, limits, clock))
                        .collect(toImmutableList());
        holders.forEach(owner::learn);
        streams = IntStream.range(0, streamCount).mapToObj(this::stream).collect(toImmutableList());
    }

    /** Gives each stream a token every {@code gapMs} and measures after {@code settle}. */
    CopyPoint measure(long gapMs, Duration settle, Duration window) {
        streams.forEach(s -> requests.execute(s::start));
        long gapUs = TimeUnit.MILLISECONDS.toMicros(gapMs);
        for (int i = 0; i < streams.size(); i++) {
            long firstUs = gapUs * i / streams.size();
            CopiedStream stream = streams.get(i);
            requests.scheduleAtFixedRate(stream::token, firstUs, gapUs, TimeUnit.MICROSECONDS);
        }
        Uninterruptibles.sleepUninterruptibly(settle);
        CopyTraffic before = onRequests(this::beginWindow);
        double ownerUs = ownerUs();
        double holderUs = ThreadTimes.usOf(LINKS_THREAD + HOLDER);
        long startNs = System.nanoTime();
        Uninterruptibles.sleepUninterruptibly(window);
        double seconds = (System.nanoTime() - startNs) / 1e9;
        CopyTraffic after = onRequests(owner.copies()::traffic);
        double tokens = after.tokens() - before.tokens();
        return new CopyPoint(
                holders.size(),
                framesBound,
                tokens / seconds,
                (after.batches() - before.batches()) / seconds,
                (after.bytes() - before.bytes()) / tokens,
                (ownerUs() - ownerUs) / tokens,
                (ThreadTimes.usOf(LINKS_THREAD + HOLDER) - holderUs) / tokens,
                onRequests(() -> releaseUs.getValueAtPercentile(MEDIAN)),
                onRequests(() -> releaseUs.getValueAtPercentile(HIGH)));
    }

    @Override
    public void close() {
        requests.shutdownNow();
        owner.close();
        holders.forEach(CopyNode::close);
    }

    private CopyTraffic beginWindow() {
        releaseUs.reset();
        return owner.copies().traffic();
    }

    private static double ownerUs() {
        return ThreadTimes.usOf(LINKS_THREAD + OWNER) + ThreadTimes.usOf(REQUEST_THREAD);
    }

    private <T> T onRequests(Supplier<T> query) {
        return CompletableFuture.supplyAsync(query, requests).join();
    }

    private CopiedStream stream(int number) {
        RouterId first = holders.get(number % holders.size()).id();
        HolderRanking ranking = (request, router, n) -> ImmutableList.of(first);
        return new CopiedStream(owner, number, ranking, onThread(), clock, releaseUs);
    }

    private RequestThread onThread() {
        return new RequestThread() {
            @Override
            public void execute(Runnable task) {
                requests.execute(task);
            }

            @Override
            public Runnable executeAfter(Runnable task, long delayMs) {
                ScheduledFuture<?> f = requests.schedule(task, delayMs, TimeUnit.MILLISECONDS);
                return () -> f.cancel(false);
            }
        };
    }
}
