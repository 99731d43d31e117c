package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyLinks;
import org.masticweir.recovery.copy.HolderRanking;
import org.masticweir.recovery.copy.KeyLinks;

/**
 * Where copies of this router's requests are kept and their keys registered; thread-safe.
 *
 * @param self this router's name as owner of both
 */
public record CopyContext(RouterId self, CopyLinks links, HolderRanking ranking, KeyLinks keys) {
    public CopyContext {
        checkNotNull(self, "self");
        checkNotNull(links, "links");
        checkNotNull(ranking, "ranking");
        checkNotNull(keys, "keys");
    }
}
