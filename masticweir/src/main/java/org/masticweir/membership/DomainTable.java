package org.masticweir.membership;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticweir.id.DomainId;

/**
 * Which failure domains were heard and which revision each holds; owned by the control thread.
 *
 * <p>Revisions only grow, so reports may come late, twice or by any way round.
 */
final class DomainTable {
    private final Map<DomainId, Row> rows = new LinkedHashMap<>();

    /** Notes a heartbeat of a router of {@code domain}; returns whether the revision grew. */
    boolean heard(DomainId domain, long revision, long nowMs) {
        boolean grew = reported(new DomainRevision(domain, revision), nowMs);
        Row r = rows.get(domain);
        if (r != null) {
            r.heardMs = nowMs;
        }
        return grew;
    }

    /** Notes what another router knows; returns whether the revision grew. */
    boolean reported(DomainRevision report, long nowMs) {
        Row r = rows.get(report.domain());
        if (r == null) {
            if (rows.size() >= Heartbeat.MAX_DOMAINS) {
                return false;
            }
            r = new Row(report.domain());
            rows.put(report.domain(), r);
        }
        if (report.revision() <= r.revision) {
            return false;
        }
        r.revision = report.revision();
        r.grewMs = nowMs;
        return true;
    }

    /**
     * Returns at most {@code n} rows to tell a peer: those that grew since {@code sinceMs}, then
     * others in turn, {@code turn} counting the heartbeats to that peer.
     */
    List<DomainRevision> toTell(int n, long turn, long sinceMs) {
        List<DomainRevision> told = new ArrayList<>();
        for (Row r : rows.values()) {
            if (told.size() < n && r.grewMs >= sinceMs) {
                told.add(r.toRevision());
            }
        }
        List<Row> all = List.copyOf(rows.values());
        if (told.isEmpty() && !all.isEmpty()) {
            told.add(all.get((int) (turn % all.size())).toRevision());
        }
        return told;
    }

    ImmutableMap<DomainId, DomainView> view() {
        return rows.values().stream()
                .map(r -> new DomainView(r.domain, r.heardMs, r.revision))
                .collect(ImmutableMap.toImmutableMap(DomainView::domain, v -> v));
    }

    /** The mutable row of one domain. */
    private static final class Row {
        private final DomainId domain;
        private long heardMs = DomainView.NEVER;
        private long grewMs = DomainView.NEVER;
        private long revision;

        Row(DomainId domain) {
            this.domain = domain;
        }

        DomainRevision toRevision() {
            return new DomainRevision(domain, revision);
        }
    }
}
