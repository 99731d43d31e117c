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
 * Builds replies to catalog requests from the catalogs most recently in force; not thread-safe.
 *
 * <p>Reduces load: all routers of a domain request a new catalog at the same moment from the few
 * routers that read the store, over links of limited bandwidth. A router that holds one of the
 * recent versions receives the edit from that version to the newest one. Any other router receives
 * the full text, as an edit of the empty text. Each edit is compressed once and reused for all
 * requests.
 */
final class CatalogReplies {
    private static final long NO_VERSION = 0;

    private final RecentTexts recentTexts = new RecentTexts();
    private final Map<Long, PackedEdit> packedEdits = new HashMap<>();
    private Optional<CatalogText> latestText = Optional.empty();

    /** Adds the catalog in force; does nothing unless it is newer than the latest. */
    void add(CatalogText text) {
        if (latestText.filter(l -> l.version() >= text.version()).isPresent()) {
            return;
        }
        latestText = Optional.of(text);
        recentTexts.add(text.version(), text.text());
        packedEdits.clear();
    }

    /** Returns the reply to a request. */
    CatalogReply replyTo(CatalogRequest request) {
        Optional<CatalogText> newer = latestText.filter(l -> l.version() > request.newerThan());
        if (newer.isEmpty()) {
            return CatalogReply.empty();
        }
        if (!request.acceptsEdits()) {
            return CatalogReply.fullText(newer.get().text());
        }
        return CatalogReply.edit(packedEditFor(request.newerThan(), newer.get()));
    }

    private PackedEdit packedEditFor(long heldVersion, CatalogText newest) {
        Optional<DocumentEdit> edit = recentTexts.editOf(heldVersion);
        return packedEdits.computeIfAbsent(
                edit.isPresent() ? heldVersion : NO_VERSION,
                v -> PackedEdit.of(edit.orElseGet(() -> DocumentEdit.whole(newest.text()))));
    }
}
