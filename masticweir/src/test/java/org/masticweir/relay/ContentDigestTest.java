package org.masticweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.forward.RequestSize;
import org.masticweir.id.ContentId;
import org.masticweir.id.PromptPartId;

/** Content ids of requests and of the parts of their prompts. */
class ContentDigestTest {
    private static ImmutableSet<ContentId> partsOf(
            String requestId, String key, Optional<String> model, String... parts) {
        ImmutableSet.Builder<PromptPartId> ids = ImmutableSet.builder();
        for (String part : parts) {
            ids.add(PromptPartId.of(part));
        }
        return ContentDigest.ofParts(
                new RequestMetadata(
                        requestId,
                        OptionalLong.empty(),
                        Optional.of(key),
                        RequestSize.none(),
                        Optional.empty(),
                        model,
                        ids.build(),
                        OptionalLong.empty()));
    }

    /** Ids of the parts of prompts. */
    @Nested
    class OfParts {
        @Test
        void areTheSameInAllRequestsWithThePart() {
            ImmutableSet<ContentId> first = partsOf("a1", "k1", Optional.of("m"), "p1", "p2");
            ImmutableSet<ContentId> second = partsOf("a2", "k2", Optional.of("m"), "p3", "p1");
            assertEquals(2, first.size());
            assertEquals(first.asList().get(0), second.asList().get(1));
            assertNotEquals(first.asList().get(1), second.asList().get(0));
        }

        @Test
        void differBetweenModels() {
            ImmutableSet<ContentId> ofOne = partsOf("a", "k", Optional.of("m1"), "p1");
            assertNotEquals(ofOne, partsOf("a", "k", Optional.of("m2"), "p1"));
            assertNotEquals(ofOne, partsOf("a", "k", Optional.empty(), "p1"));
        }

        /** Guards against two different pairs of model and part with one digest. */
        @Test
        void differWhereModelAndPartReadAlikeTogether() {
            assertNotEquals(
                    partsOf("a", "k", Optional.of("m"), "1p"),
                    partsOf("a", "k", Optional.of("m1"), "p"));
        }
    }
}
