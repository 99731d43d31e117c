package org.masticweir.review;

import java.util.List;

/**
 * The configuration of a small deployment, as the operator writes it into the store: model servers
 * for reports, and plain servers for the queries of store managers.
 */
final class Site {
    static final String ZONE = "bologna-a";
    static final String REPORTS = "relazioni";
    static final String DASHBOARD = "cruscotto";

    /** A second service of plain servers, to which an operator may move routes. */
    static final String NEXT_DASHBOARD = "cruscotto-b";

    static final String HOST = "potato.example";
    static final String KEY = "growers-key";

    static final long TIMEOUT_MS = 2_000;
    static final long DEADLINE_MS = 4_000;
    static final long REPORT_DEADLINE_MS = 25_000;

    /** The bounds of the rules. */
    static final long CONTACT_MS = 3_000;

    static final long CONFIG_MS = 2_000;

    private Site() {}

    /** A route of the deployment, and the requests that take it. */
    enum Route {
        DORMANCY_REPORT("POST", "/report/", "stream", REPORT_DEADLINE_MS, 4_500, 5),
        TEMP_QUERY("POST", "/query/", "mutating", TIMEOUT_MS, 386, 1),
        VENT_STATUS("GET", "/status/", "idempotent", TIMEOUT_MS, 386, 2);

        private final String method;
        private final String prefix;
        private final String type;
        private final long timeoutMs;
        private final long goalMs;
        private final int attempts;

        Route(
                String method,
                String prefix,
                String type,
                long timeoutMs,
                long goalMs,
                int attempts) {
            this.method = method;
            this.prefix = prefix;
            this.type = type;
            this.timeoutMs = timeoutMs;
            this.goalMs = goalMs;
            this.attempts = attempts;
        }

        String method() {
            return method;
        }

        String prefix() {
            return prefix;
        }

        boolean isStream() {
            return this == DORMANCY_REPORT;
        }

        /** Returns how long a client of this route waits. */
        long deadlineMs() {
            return isStream() ? REPORT_DEADLINE_MS : DEADLINE_MS;
        }

        private String toJson(String service) {
            return String.format(
                    "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\",\"type\":\"%s\","
                            + "\"resumable\":%b,\"timeoutMs\":%d,\"goalMs\":%d,\"gapGoalMs\":700,"
                            + "\"attempts\":%d,\"priority\":1,\"service\":\"%s\"}",
                    name(), HOST, prefix, type, isStream(), timeoutMs, goalMs, attempts, service);
        }
    }

    /** Returns a version of the configuration whose plain routes lead to {@code plainService}. */
    static String config(long version, String plainService) {
        List<String> routes =
                List.of(
                        Route.DORMANCY_REPORT.toJson(REPORTS),
                        Route.TEMP_QUERY.toJson(plainService),
                        Route.VENT_STATUS.toJson(plainService));
        String plain = "{\"name\":\"%s\",\"maxConns\":100,\"healthPath\":\"/healthz\"}";
        return String.format(
                "{\"version\":%d,\"routes\":[%s],\"services\":["
                        + "{\"name\":\"%s\",\"maxConns\":620,\"healthPath\":\"/healthz\","
                        + "\"engine\":{\"slots\":128,\"kvCapacity\":88000,\"backups\":false}},"
                        + "%s,%s],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":2000,\"idleTimeoutMs\":30000},"
                        + "\"tenants\":[{\"name\":\"growers\",\"apiKeys\":[\"%s\"]}]}",
                version,
                String.join(",", routes),
                REPORTS,
                String.format(plain, DASHBOARD),
                String.format(plain, NEXT_DASHBOARD),
                KEY);
    }
}
