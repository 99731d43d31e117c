package org.masticweir.bench.path;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.util.List;

/** How many streams are open at once and how long each is; immutable. */
record PathShape(int streams, int tokens) {
    PathShape {
        checkArgument(streams >= 1, "%s streams", streams);
        checkArgument(tokens >= 1, "%s tokens", tokens);
    }

    /** Reads {@code STREAMSxTOKENS}. */
    static PathShape parse(String text) {
        List<String> parts = Splitter.on('x').splitToList(text);
        checkArgument(parts.size() == 2, "%s is not STREAMSxTOKENS", text);
        return new PathShape(Integer.parseInt(parts.get(0)), Integer.parseInt(parts.get(1)));
    }
}
