package org.masticweir.review;

import java.util.Locale;

/** Configurations of one plain service behind one route, as the operator writes them. */
final class Deployment {
    static final String SERVICE = "planning";
    static final String DOMAIN = "d1";
    static final int MAX_BODY_BYTES = 4 << 20;

    private static final String HOST = "desk.example";
    private static final String KEY = "key-one";
    private static final int FIRST_VERSION = 7;

    private Deployment() {}

    /** Returns the first version, with one mutating route, for which one tenant has a key. */
    static String mutating(int timeoutMs) {
        return mutating(FIRST_VERSION, timeoutMs, tenant("growers", KEY));
    }

    /** Returns a version with one mutating route. */
    static String mutating(int version, int timeoutMs, String... tenants) {
        return config(version, "mutating", timeoutMs, 400, 0, tenants);
    }

    /** Returns the first version, with one route of streams that are not resumed. */
    static String streams(int timeoutMs) {
        return config(FIRST_VERSION, "stream", timeoutMs, 4_500, 700, tenant("growers", KEY));
    }

    /** Returns a tenant with one key, for a configuration. */
    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1}";
    }

    private static String config(
            int version, String type, int timeoutMs, int goalMs, int gapGoalMs, String... tenants) {
        return String.format(
                Locale.ROOT,
                "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"%s\",\"prefix\":\"/p/\","
                        + "\"type\":\"%s\",\"timeoutMs\":%d,\"goalMs\":%d,\"gapGoalMs\":%d,"
                        + "\"priority\":1,\"service\":\"%s\",\"attempts\":5,\"public\":false}],"
                        + "\"services\":[{\"name\":\"%s\",\"healthPath\":\"/healthz\","
                        + "\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":%d,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                        + "\"tenants\":[%s]}",
                version,
                HOST,
                type,
                timeoutMs,
                goalMs,
                gapGoalMs,
                SERVICE,
                SERVICE,
                MAX_BODY_BYTES,
                String.join(",", tenants));
    }

    /** Returns the head of a request without the empty line at its end. */
    static String head(String method, String attempt, int deadlineMs, int bodyBytes) {
        return head(method, attempt, deadlineMs, bodyBytes, KEY);
    }

    /** Returns the head of a request of the tenant that holds {@code key}. */
    static String head(String method, String attempt, int deadlineMs, int bodyBytes, String key) {
        return method + " /p/visit HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: " + bodyBytes + "\r\n";
    }
}
