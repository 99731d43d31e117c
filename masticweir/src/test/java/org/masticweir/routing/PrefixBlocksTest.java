package org.masticweir.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.masticweir.id.ModelId;

/** Tests the names of prompt prefixes. */
final class PrefixBlocksTest {
    private static final ModelId MODEL = ModelId.of("report");

    // Cache events of an engine name its prefixes. A router that names them otherwise believes
    // every cache empty, sends prompts anywhere and pays their prefill again.
    @Test
    void namesAreThoseThatEnginesPublish() {
        List<Integer> prompt = IntStream.range(0, 40).boxed().toList();
        assertEquals(
                ImmutableList.of("d7f052170079708c", "1b42eef69b386306"),
                PrefixBlocks.hashesOf(MODEL, "3", "household", prompt));
    }

    @Test
    void anotherAdapterHasOtherNames() {
        List<Integer> prompt = IntStream.range(0, 16).boxed().toList();
        assertNotEquals(
                PrefixBlocks.hashesOf(MODEL, "3", "household", prompt),
                PrefixBlocks.hashesOf(MODEL, "3", "", prompt));
    }
}
