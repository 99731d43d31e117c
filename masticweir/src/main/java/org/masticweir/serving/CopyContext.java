package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyLinks;
import org.masticweir.recovery.copy.HolderRanking;

/** Where copies of this router's requests are kept, and under which name; thread-safe. */
public record CopyContext(RouterId self, CopyLinks links, HolderRanking ranking) {
    public CopyContext {
        checkNotNull(self, "self");
        checkNotNull(links, "links");
        checkNotNull(ranking, "ranking");
    }
}
