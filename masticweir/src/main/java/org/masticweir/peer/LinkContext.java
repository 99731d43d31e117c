package org.masticweir.peer;

import java.util.Optional;

/** What all links of a router share. */
record LinkContext(
        LinkLoop loop,
        LinkSettings settings,
        Hello self,
        FrameCodec frames,
        Counting counting,
        Optional<LinkTls> tls,
        LinkListener events) {}
