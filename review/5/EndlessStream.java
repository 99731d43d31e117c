package org.masticweir.review;

import java.util.List;

/**
 * One model server of eight sends empty lines without end while the queries are sent by which the
 * rule is judged. All callers read as fast as they can.
 */
final class EndlessStream {
    private static final int SERVERS = 8;
    private static final int EVENTS = 100;
    private static final int QUERIES = 20;
    private static final long QUERY_GAP_MS = 400;

    private EndlessStream() {}

    public static void main(String[] args) {
        Bed.main(args, EndlessStream::run);
    }

    private static List<String> run(Bed bed) throws Exception {
        bed.store().put("op", "config", Site.config(1, Site.DASHBOARD));
        String sound = "events=" + EVENTS;
        bed.servers(SERVERS - 1, Site.REPORTS, sound);
        if (bed.isTroubled()) {
            bed.server("i-endless", Site.REPORTS, "events=3", "endless=true");
        } else {
            bed.server("i-endless", Site.REPORTS, sound);
        }
        bed.servers(4, Site.DASHBOARD);
        Router router = bed.router("r1");
        Caller caller = new Caller(router.callers(), bed.record());
        for (int i = 0; i < SERVERS; i++) {
            caller.send(Site.Route.DORMANCY_REPORT);
            Thread.sleep(200);
        }
        return Unanswered.breaks(caller, QUERIES, QUERY_GAP_MS);
    }
}
