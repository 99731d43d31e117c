package org.masticweir.peer;

/** What all links of a router share. */
record LinkContext(
        LinkLoop loop,
        LinkSettings settings,
        Hello self,
        FrameCodec frames,
        Counting counting,
        LinkListener events) {}
