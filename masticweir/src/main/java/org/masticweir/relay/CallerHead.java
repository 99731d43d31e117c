package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.forward.RequestSize;
import org.masticweir.id.PromptId;

/**
 * What a caller says of its request beside method, path and body; immutable.
 *
 * @param request the caller's id of this attempt
 * @param waitMs how long the caller waits
 * @param key the team's key
 * @param size what the request will cost an engine
 * @param prompt the part of its prompt that no other caller's request shares
 * @param afterEvent last event that the caller already has
 */
public record CallerHead(
        String request,
        OptionalLong waitMs,
        Optional<String> key,
        RequestSize size,
        Optional<PromptId> prompt,
        OptionalLong afterEvent) {
    public CallerHead {
        checkNotNull(request, "request");
        checkNotNull(waitMs, "waitMs");
        checkNotNull(key, "key");
        checkNotNull(size, "size");
        checkNotNull(prompt, "prompt");
        checkNotNull(afterEvent, "afterEvent");
    }
}
