package org.masticweir.review;

import java.io.IOException;
import java.util.List;

/**
 * The operator takes a key away and adds a tenant whose name has a space. No router can read this
 * version, nor any later one with that tenant. The old key goes on working for as long as the
 * router runs, and the new keys never do.
 */
final class TenantNameCase implements Case {
    private static final int TIMEOUT_MS = 4_000;
    private static final long CONFIG_MS = 2_000;
    private static final int TRIES = 10;
    private static final long INTERVAL_MS = 500;
    private static final String DROPPED_KEY = "key-one";
    private static final String NEW_KEY = "key-two";

    @Override
    public boolean play(Bed bed, Record record, boolean isTroubled) throws IOException {
        String tenant = isTroubled ? "Cooperativa Bologna" : "cooperativa-bologna";
        bed.store()
                .put(
                        "op",
                        "config",
                        Deployment.mutating(
                                7, TIMEOUT_MS, Deployment.tenant("growers", DROPPED_KEY)));
        Bed.Running server = bed.startServer("s1", "i-1", "prompt");
        Caller caller = new Caller(bed.startRouter("r1", "d1").callers());
        send(caller, "before.1", DROPPED_KEY, record);
        bed.store()
                .put(
                        "op",
                        "config",
                        Deployment.mutating(
                                8,
                                TIMEOUT_MS,
                                Deployment.tenant("growers", NEW_KEY),
                                Deployment.tenant(tenant, "key-three")));
        record.add("the store has acknowledged version 8, without " + DROPPED_KEY);
        Bed.sleep(2 * CONFIG_MS);
        int denied = 0;
        for (int i = 0; i < TRIES; i++) {
            send(caller, "dropped." + i, DROPPED_KEY, record);
            if (send(caller, "new." + i, NEW_KEY, record).status() != 200) {
                denied++;
            }
            Bed.sleep(INTERVAL_MS);
        }
        List<String> stale =
                server.lines().stream()
                        .filter(l -> l.startsWith(ServerStandIn.RUN + "dropped."))
                        .toList();
        record.add(stale.size() + " of " + TRIES + " requests with the dropped key were run, "
                + denied + " of " + TRIES + " with the new key were not served");
        return stale.isEmpty();
    }

    private static Caller.Answer send(Caller caller, String id, String key, Record record) {
        byte[] body = {'x'};
        String head = Deployment.head("POST", id, TIMEOUT_MS, body.length, key);
        Caller.Answer answer = caller.call(head, body, 2 * TIMEOUT_MS);
        record.add("sent " + id + " with " + key + ", " + answer);
        return answer;
    }
}
