package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.forward.RequestSize;
import org.masticweir.id.PromptId;
import org.masticweir.id.PromptPartId;

/**
 * Metadata from the headers of a caller's request; immutable.
 *
 * @param requestId id that the caller has assigned to this attempt
 * @param timeoutMs time for which the caller waits for the answer; empty if the request does not
 *     state it
 * @param teamKey key that identifies the caller's team
 * @param size estimated cost of the request for an engine
 * @param prompt id of the part of the prompt that no other caller's request shares
 * @param model name of the model that runs the prompt
 * @param sharedParts ids of the parts of the prompt that other requests may share
 * @param lastEventId id of the last event that the caller has received
 */
public record RequestMetadata(
        String requestId,
        OptionalLong timeoutMs,
        Optional<String> teamKey,
        RequestSize size,
        Optional<PromptId> prompt,
        Optional<String> model,
        ImmutableSet<PromptPartId> sharedParts,
        OptionalLong lastEventId) {
    public RequestMetadata {
        checkNotNull(requestId, "requestId");
        checkNotNull(timeoutMs, "timeoutMs");
        checkNotNull(teamKey, "teamKey");
        checkNotNull(size, "size");
        checkNotNull(prompt, "prompt");
        checkNotNull(model, "model");
        checkNotNull(sharedParts, "sharedParts");
        checkNotNull(lastEventId, "lastEventId");
    }
}
