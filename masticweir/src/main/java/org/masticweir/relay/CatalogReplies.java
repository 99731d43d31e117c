package org.masticweir.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.config.DocumentEdit;
import org.masticweir.config.RecentTexts;
import org.masticweir.relay.DeploymentState.CatalogText;
import org.masticweir.relay.RelayMessages.CatalogReply;
import org.masticweir.relay.RelayMessages.CatalogRequest;

/**
 * The catalogs that came in force here of late, as other routers are given them; not thread-safe.
 *
 * <p>Load that it answers: all routers of a domain ask the few that read the store at one moment,
 * over thin links. Who holds one of the last versions gets what has changed, anybody else the whole
 * as an edit of no text; either is packed once for all.
 */
final class CatalogReplies {
    private static final long NO_VERSION = 0;

    private final RecentTexts recent = new RecentTexts();
    private final Map<Long, PackedEdit> packedEdits = new HashMap<>();
    private Optional<CatalogText> latest = Optional.empty();

    /** Takes the catalog in force; one that is known already changes nothing. */
    void add(CatalogText text) {
        if (latest.filter(l -> l.version() >= text.version()).isPresent()) {
            return;
        }
        latest = Optional.of(text);
        recent.add(text.version(), text.text());
        packedEdits.clear();
    }

    /** Returns what a peer is given. */
    CatalogReply replyTo(CatalogRequest request) {
        Optional<CatalogText> newer = latest.filter(l -> l.version() > request.newerThan());
        if (newer.isEmpty()) {
            return CatalogReply.nothing();
        }
        if (!request.takesEdits()) {
            return CatalogReply.whole(newer.get().text());
        }
        return CatalogReply.edit(packedEditFor(request.newerThan(), newer.get()));
    }

    private PackedEdit packedEditFor(long heldVersion, CatalogText newest) {
        Optional<DocumentEdit> edit = recent.editOf(heldVersion);
        return packedEdits.computeIfAbsent(
                edit.isPresent() ? heldVersion : NO_VERSION,
                v -> PackedEdit.of(edit.orElseGet(() -> DocumentEdit.whole(newest.text()))));
    }
}
