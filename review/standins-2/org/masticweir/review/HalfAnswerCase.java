package org.masticweir.review;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A server crashes in the middle of an answer without a length, and starts again. The router's
 * machine stands still meanwhile. When it wakes, it finds the end of the connection and a server
 * that accepts connections, and gives the caller half of the answer as the whole.
 */
final class HalfAnswerCase implements Case {
    private static final int TIMEOUT_MS = 4_000;

    /** Long enough for the first half to arrive, and shorter than the server's pause. */
    private static final long FIRST_HALF_MS = 700;

    private static final long DOWN_MS = 500;
    private static final long FROZEN_AFTER_RESTART_MS = 500;

    @Override
    public boolean play(Bed bed, Record record, boolean isTroubled) throws IOException {
        bed.store().put("op", "config", Deployment.mutating(TIMEOUT_MS));
        int port = Bed.freePort();
        Bed.Running server = bed.startServer("s1", port, "i-1", "unframed");
        Bed.Router router = bed.startRouter("r1", "d1");
        Caller caller = new Caller(router.callers());
        ExecutorService thread = Executors.newSingleThreadExecutor();
        Future<Caller.Answer> pending = thread.submit(() -> call(caller));
        thread.shutdown();
        record.add("sent a1");
        if (isTroubled) {
            Bed.sleep(FIRST_HALF_MS);
            router.running().freeze();
            record.add("the router stands still");
            server.kill();
            record.add("the server is killed");
            Bed.sleep(DOWN_MS);
            bed.startServer("s1-again", port, "i-1", "unframed");
            record.add("the server runs again");
            Bed.sleep(FROZEN_AFTER_RESTART_MS);
            router.running().thaw();
            record.add("the router goes on");
        }
        Caller.Answer answer = Futures.join(pending);
        record.add("answered, " + answer + ": <" + answer.text() + ">");
        record.add("the server's whole body: <" + ServerStandIn.WHOLE_BODY + ">");
        boolean isSuccess = answer.status() / 100 == 2 && answer.isComplete();
        return !isSuccess || answer.text().equals(ServerStandIn.WHOLE_BODY);
    }

    private static Caller.Answer call(Caller caller) {
        byte[] body = {'x'};
        String head = Deployment.head("POST", "a1", TIMEOUT_MS, body.length);
        return caller.call(head, body, TIMEOUT_MS + 1_000);
    }
}
