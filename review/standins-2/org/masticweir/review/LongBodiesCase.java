package org.masticweir.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The balancer hands the streams of a region to one router. Their prompts are as long as the
 * configuration allows; the router keeps each until its stream has ended, and runs out of memory.
 */
final class LongBodiesCase implements Case {
    private static final int TIMEOUT_MS = 25_000;
    private static final long CONTACT_MS = 3_000;

    /** Streams of the region: 3.28 a second, 0.47 of them at each of 7 routers. */
    private static final long REGION_INTERVAL_MS = 305;

    private static final long USUAL_INTERVAL_MS = 2_134;
    private static final long USUAL_MS = 15_000;
    private static final long HERD_MS = 15_000;

    /** Part of the earlier share of served requests that must still be served. */
    private static final double REQUIRED_PART = 0.75;

    private static final byte[] BODY = new byte[Deployment.MAX_BODY_BYTES];

    private record Sent(String id, long atMs, Caller.Answer answer) {
        boolean isRead() {
            return answer.status() != 0;
        }

        boolean isServed() {
            return answer.status() == 200
                    && answer.isComplete()
                    && answer.text().contains("id: " + ServerStandIn.EVENTS + "\n");
        }
    }

    @Override
    public boolean play(Bed bed, Record record, boolean isTroubled) throws IOException {
        bed.store().put("op", "config", Deployment.streams(TIMEOUT_MS));
        bed.startServer("s1", "i-1", "stream");
        bed.startServer("s2", "i-2", "stream");
        Bed.Router first = bed.startRouter("r1", "d1");
        Bed.Router second = bed.startRouter("r2", "d1");
        ExecutorService threads = Executors.newCachedThreadPool();
        Caller caller = new Caller(first.callers());
        Caller elsewhere = new Caller(second.callers());
        long startNs = System.nanoTime();
        List<Future<Sent>> pending = new ArrayList<>();
        for (long atMs = 0; atMs < USUAL_MS + HERD_MS; atMs = msSince(startNs)) {
            String id = "a" + pending.size();
            pending.add(threads.submit(() -> send(caller, elsewhere, id, startNs, record)));
            boolean isHerd = isTroubled && atMs >= USUAL_MS;
            Bed.sleep(isHerd ? REGION_INTERVAL_MS : USUAL_INTERVAL_MS);
        }
        List<Sent> sent = pending.stream().map(Futures::join).toList();
        threads.shutdown();

        double before = servedShare(sent, 0, USUAL_MS, record);
        double after = servedShare(sent, USUAL_MS + CONTACT_MS, USUAL_MS + HERD_MS, record);
        if (before == 0) {
            throw new IllegalStateException("nothing was served before the herd");
        }
        long shortages =
                first.running().lines().stream().filter(l -> l.contains("OutOfMemory")).count();
        record.add(shortages + " lines of the router tell of too little memory");
        return after >= REQUIRED_PART * before;
    }

    /** Sends a stream's request, and once more to another router if it was not read. */
    private static Sent send(
            Caller caller, Caller elsewhere, String id, long startNs, Record record) {
        long atMs = msSince(startNs);
        String head = Deployment.head("POST", id, TIMEOUT_MS, BODY.length);
        Sent sent = new Sent(id, atMs, caller.call(head, BODY, TIMEOUT_MS + 1_000));
        record.add("sent " + id + ", " + sent.answer());
        if (!sent.isRead()) {
            String again = Deployment.head("POST", id + ".2", TIMEOUT_MS, BODY.length);
            Caller.Answer second = elsewhere.call(again, BODY, TIMEOUT_MS + 1_000);
            record.add("sent " + id + ".2 to the other router, " + second);
        }
        return sent;
    }

    private static double servedShare(List<Sent> sent, long fromMs, long toMs, Record record) {
        List<Sent> read =
                sent.stream()
                        .filter(s -> s.atMs() >= fromMs && s.atMs() < toMs && s.isRead())
                        .toList();
        long served = read.stream().filter(Sent::isServed).count();
        record.add(
                String.format(
                        Locale.ROOT,
                        "from %d to %d ms: %d requests read, %d served at the first attempt",
                        fromMs,
                        toMs,
                        read.size(),
                        served));
        return read.isEmpty() ? 0 : (double) served / read.size();
    }

    private static long msSince(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
