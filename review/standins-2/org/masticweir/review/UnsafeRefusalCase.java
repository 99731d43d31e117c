package org.masticweir.review;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One of seven servers fails some of its requests after it has run them, with a status that does
 * not say that they were not run. The caller gets that status from the router as the promise that
 * they were not, asks again as it is allowed to, and the letter is written twice.
 */
final class UnsafeRefusalCase implements Case {
    private static final int TIMEOUT_MS = 4_000;
    private static final int SERVERS = 7;
    private static final int LETTERS = 200;
    private static final long INTERVAL_MS = 20;

    /** Statuses that promise that the request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    @Override
    public boolean play(Bed bed, Record record, boolean isTroubled) throws IOException {
        bed.store().put("op", "config", Deployment.mutating(TIMEOUT_MS));
        Bed.Running[] servers = new Bed.Running[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            boolean isGrey = isTroubled && i == 0;
            servers[i] = bed.startServer("s" + i, "i-" + i, isGrey ? "grey" : "prompt");
        }
        Caller caller = new Caller(bed.startRouter("r1", "d1").callers());
        Set<String> refused = new HashSet<>();
        int repeated = 0;
        for (int letter = 0; letter < LETTERS; letter++) {
            if (isRefused(caller, "letter" + letter + ".1", refused, record)) {
                repeated++;
                isRefused(caller, "letter" + letter + ".2", refused, record);
            }
            Bed.sleep(INTERVAL_MS);
        }
        Set<String> ran = ranAt(servers);
        refused.retainAll(ran);
        record.add(LETTERS + " letters, " + repeated + " asked for again; answered as not run, but"
                + " run by a server: " + refused);
        refused.forEach(id -> record.add(id + " was run"
                + (ran.contains(secondTry(id)) ? ", and " + secondTry(id) + " too" : "")));
        return refused.isEmpty();
    }

    private static String secondTry(String id) {
        return id.replace(".1", ".2");
    }

    private static boolean isRefused(
            Caller caller, String id, Set<String> refused, Record record) {
        byte[] body = {'x'};
        Caller.Answer answer =
                caller.call(
                        Deployment.head("POST", id, TIMEOUT_MS, body.length), body, 2 * TIMEOUT_MS);
        record.add("sent " + id + ", " + answer);
        return PROMISES.contains(answer.status()) && refused.add(id);
    }

    private static Set<String> ranAt(Bed.Running[] servers) throws IOException {
        Set<String> ran = new HashSet<>();
        for (Bed.Running server : servers) {
            List<String> lines = server.lines();
            lines.stream()
                    .filter(l -> l.startsWith(ServerStandIn.RUN))
                    .forEach(l -> ran.add(l.substring(ServerStandIn.RUN.length())));
        }
        return ran;
    }
}
