package org.masticweir.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.config.DocumentEdit;
import org.masticweir.config.RecentTexts;
import org.masticweir.relay.Deployment.CatalogText;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;

/**
 * The catalogs that came in force here of late, as other routers are given them; not thread-safe.
 *
 * <p>Load that it answers: all routers of a domain ask the few that read the store at one moment,
 * over thin links. Who holds one of the last versions gets what has changed, anybody else the whole
 * as an edit of no text; either is packed once for all.
 */
final class CatalogTexts {
    private static final long NO_VERSION = 0;

    private final RecentTexts recent = new RecentTexts();
    private final Map<Long, PackedEdit> packed = new HashMap<>();
    private Optional<CatalogText> latest = Optional.empty();

    /** Takes the catalog in force; one that is known already changes nothing. */
    void inForce(CatalogText text) {
        if (latest.filter(l -> l.version() >= text.version()).isPresent()) {
            return;
        }
        latest = Optional.of(text);
        recent.add(text.version(), text.text());
        packed.clear();
    }

    /** Returns what a peer is given. */
    CatalogReply offer(CatalogRequest ask) {
        Optional<CatalogText> newer = latest.filter(l -> l.version() > ask.newerThan());
        if (newer.isEmpty()) {
            return CatalogReply.nothing();
        }
        if (!ask.takesEdits()) {
            return CatalogReply.whole(newer.get().text());
        }
        return CatalogReply.edit(packedFor(ask.newerThan(), newer.get()));
    }

    private PackedEdit packedFor(long known, CatalogText newest) {
        Optional<DocumentEdit> edit = recent.editOf(known);
        return packed.computeIfAbsent(
                edit.isPresent() ? known : NO_VERSION,
                v -> PackedEdit.of(edit.orElseGet(() -> DocumentEdit.whole(newest.text()))));
    }
}
