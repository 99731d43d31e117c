package org.masticweir.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** The messages of a router's operator address, as the command line reads and writes them. */
final class OperatorMessages {
    private OperatorMessages() {}

    /** A list that an answer may leave out. */
    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : ImmutableList.copyOf(list);
    }

    /** Answer of {@code GET /v1/status}. */
    record Status(
            String router,
            String domain,
            String state,
            long configRevision,
            int requests,
            List<Peer> peers,
            String platform) {
        Status {
            peers = orEmpty(peers);
        }
    }

    /** Another router as the asked one sees it. */
    record Peer(String router, String domain, String state, long configRevision) {}

    /** Answer of {@code GET /v1/engines}. */
    record Engines(List<Engine> engines) {
        Engines {
            engines = orEmpty(engines);
        }
    }

    /** One back end. */
    record Engine(
            String id,
            String domain,
            String group,
            String address,
            String state,
            int running,
            int waiting,
            int capacity,
            int ownSends) {}

    /** Answer of {@code GET /v1/requests}. */
    record Requests(List<Request> requests) {
        Requests {
            requests = orEmpty(requests);
        }
    }

    /** One request in progress. */
    record Request(
            String id,
            String team,
            @JsonProperty("class") String workClass,
            String model,
            String engine,
            int generation,
            int attempt,
            int tokens,
            String state,
            long ageMs) {}

    /** Answer of {@code GET /v1/config}. */
    record Config(long revision, String changeId, String document) {}

    /** Answer of {@code GET /v1/config/history}. */
    record History(List<Change> changes) {
        History {
            changes = orEmpty(changes);
        }
    }

    /** One accepted change. */
    record Change(long revision, String changeId, String author, long atMs) {}

    /** Body of {@code POST /v1/config}. */
    record Apply(
            long baseRevision, String changeId, String author, String document, boolean dryRun) {}

    /** Answer of {@code POST /v1/config}. */
    record Applied(String outcome, long revision, List<DomainHolds> domains) {
        Applied {
            domains = orEmpty(domains);
        }
    }

    /** Whether a failure domain holds the revision. */
    record DomainHolds(String domain, boolean holds) {}

    /** Answer of {@code GET /v1/quarantine}. */
    record Quarantine(List<QuarantinedContent> contents, int omitted) {
        Quarantine {
            contents = orEmpty(contents);
        }
    }

    /** A content or part under which servers ended. */
    record QuarantinedContent(
            String id, String kind, String state, long heldMs, int ends, List<String> servers) {
        QuarantinedContent {
            servers = orEmpty(servers);
        }
    }

    /** Body of {@code POST /v1/quarantine/release}. */
    record Release(String id) {}

    /** Body of every error. */
    record Failure(String code, String message) {}
}
