package org.masticweir.review;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy some seconds old. What was lost is written again, and with it a
 * version of the configuration that moves the plain routes to another service.
 */
final class OlderCopyOfStore {
    private static final int SERVERS = 3;
    private static final long COPY_AGE_MS = 5_000;
    private static final long AWAY_MS = 500;
    private static final int QUERIES = 30;
    private static final long QUERY_GAP_MS = 500;

    private OlderCopyOfStore() {}

    public static void main(String[] args) {
        Bed.main(args, OlderCopyOfStore::run);
    }

    private static List<String> run(Bed bed) throws Exception {
        Store store = bed.store();
        store.put("op", "config", Site.config(1, Site.DASHBOARD));
        List<Server> servers = new ArrayList<>(bed.servers(SERVERS, Site.DASHBOARD));
        servers.addAll(bed.servers(SERVERS, Site.NEXT_DASHBOARD));
        Caller first = new Caller(bed.router("r1").callers(), bed.record());
        Caller second = new Caller(bed.router("r2").callers(), bed.record());
        first.send(Site.Route.TEMP_QUERY).get();
        second.send(Site.Route.TEMP_QUERY).get();

        Store.Copy copy = store.copy();
        Runnable writeOfServers =
                () -> servers.forEach(s -> store.put("servers", s.id().value(), s.entry(100)));
        writeOfServers.run();
        Thread.sleep(COPY_AGE_MS);
        if (bed.isTroubled()) {
            bed.record().add("store", "is away");
            store.goAway();
            Thread.sleep(AWAY_MS);
            store.comeBackFrom(
                    copy,
                    () -> {
                        store.put("op", "config", Site.config(2, Site.NEXT_DASHBOARD));
                        writeOfServers.run();
                    });
            bed.record().add("store", "is back, version 2 of the configuration acknowledged");
        } else {
            store.put("op", "config", Site.config(2, Site.NEXT_DASHBOARD));
            bed.record().add("store", "version 2 of the configuration acknowledged");
        }

        Thread.sleep(Math.max(Site.CONTACT_MS, Site.CONFIG_MS) + 1_000);
        int old = 0;
        for (int i = 0; i < QUERIES; i++) {
            Caller caller = i % 2 == 0 ? first : second;
            HttpResponse<String> answer = caller.send(Site.Route.TEMP_QUERY).get();
            String seal = answer.headers().firstValue("X-Server-Seal").orElse("none");
            boolean isOld = seal.startsWith("i-" + Site.DASHBOARD + "-");
            old += isOld && !seal.startsWith("i-" + Site.NEXT_DASHBOARD) ? 1 : 0;
            Thread.sleep(QUERY_GAP_MS);
        }
        return old == 0
                ? List.of()
                : List.of(old + " of " + QUERIES + " queries were run by the old service");
    }
}
