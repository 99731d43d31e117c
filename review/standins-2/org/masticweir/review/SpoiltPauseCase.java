package org.masticweir.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A server spoils one answer: the number in the pause that it asks for. From then on no caller of
 * the router that got this answer has one, whichever server the request would have gone to, and the
 * router does not answer the balancer.
 */
final class SpoiltPauseCase implements Case {
    private static final int TIMEOUT_MS = 4_000;
    private static final int GRACE_MS = 500;
    private static final int REQUESTS = 120;
    private static final long INTERVAL_MS = 100;

    /** Unanswered requests from which on the rule may be broken. */
    private static final int MIN_UNANSWERED = 8;

    /** Part of the requests over their time, as its inverse, that may stay unanswered. */
    private static final int ALLOWED_PART = 4;

    private record Sent(String id, long tookMs, Caller.Answer answer) {
        boolean isOverTime() {
            return tookMs > TIMEOUT_MS;
        }

        boolean isUnanswered() {
            return !answer.isComplete() || tookMs > TIMEOUT_MS + GRACE_MS;
        }
    }

    @Override
    public boolean play(Bed bed, Record record, boolean isTroubled) throws IOException {
        bed.store().put("op", "config", Deployment.mutating(TIMEOUT_MS));
        String behaviour = isTroubled ? "pausing_spoilt" : "pausing";
        bed.startServer("s1", "i-1", behaviour);
        bed.startServer("s2", "i-2", "prompt");
        Bed.Router router = bed.startRouter("r1", "d1");
        List<Sent> sent = sendAll(new Caller(router.callers()), record);

        long overTime = sent.stream().filter(Sent::isOverTime).count();
        long unanswered = sent.stream().filter(Sent::isUnanswered).count();
        record.add(sent.size() + " requests sent, " + overTime + " lasted longer than " + TIMEOUT_MS
                + " ms, " + unanswered + " of them without an answer " + GRACE_MS + " ms later");
        record.add("the router's process is " + (router.running().isAlive() ? "there" : "gone")
                + ", the balancer's question is answered: " + Bed.isReady(router));
        return unanswered < MIN_UNANSWERED || unanswered * ALLOWED_PART <= overTime;
    }

    private static List<Sent> sendAll(Caller caller, Record record) {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<Sent>> pending = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "a" + i;
            pending.add(threads.submit(() -> send(caller, id, record)));
            Bed.sleep(INTERVAL_MS);
        }
        List<Sent> sent = pending.stream().map(Futures::join).toList();
        threads.shutdown();
        return sent;
    }

    private static Sent send(Caller caller, String id, Record record) {
        byte[] body = {'x'};
        String head = Deployment.head("POST", id, TIMEOUT_MS, body.length);
        long startNs = System.nanoTime();
        Caller.Answer answer = caller.call(head, body, TIMEOUT_MS + 2 * GRACE_MS);
        Sent sent = new Sent(id, (System.nanoTime() - startNs) / 1_000_000, answer);
        record.add("sent " + id + ", after " + sent.tookMs() + " ms " + answer);
        return sent;
    }
}
