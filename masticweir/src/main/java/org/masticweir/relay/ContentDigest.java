package org.masticweir.relay;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Arrays;
import org.masticweir.catalog.TeamName;
import org.masticweir.id.ContentId;
import org.masticweir.id.PromptPartId;

/**
 * Computes the content ids of a request and of the shared parts of its prompt. Stateless and
 * thread-safe.
 *
 * <p>The content id of a request includes the team, so that the requests of two teams never have
 * the same content id. The hash is collision-resistant. The content id excludes the request id, the
 * deadline, the id of the last event that the caller has received, and the port of the router,
 * because these differ between submissions of the same request.
 *
 * <p>The content id of a part depends on the model and on the part only, because the requests of
 * several teams may share the part. One part under two models has two content ids.
 */
final class ContentDigest {
    private static final int ID_BYTES = 16;

    /** Separates the ids of parts from those of requests. */
    private static final String PART_PREFIX = "part";

    private ContentDigest() {}

    static ContentId of(RelayRequest request) {
        Hasher hasher = Hashing.sha256().newHasher();
        put(hasher, request.team().map(TeamName::value).orElse(""));
        put(hasher, request.method());
        put(hasher, request.params().route().host());
        put(hasher, request.path());
        hasher.putBytes(request.body());
        return toId(hasher);
    }

    /** Returns the content ids of the parts of the prompt that other requests may share. */
    static ImmutableSet<ContentId> ofParts(RequestMetadata request) {
        String model = request.model().orElse("");
        return request.sharedParts().stream()
                .map(part -> ofPart(model, part))
                .collect(ImmutableSet.toImmutableSet());
    }

    private static ContentId ofPart(String model, PromptPartId part) {
        Hasher hasher = Hashing.sha256().newHasher();
        put(hasher, PART_PREFIX);
        put(hasher, model);
        put(hasher, part.value());
        return toId(hasher);
    }

    private static ContentId toId(Hasher hasher) {
        byte[] digest = hasher.hash().asBytes();
        return ContentId.of(HashCode.fromBytes(Arrays.copyOf(digest, ID_BYTES)).toString());
    }

    /**
     * Prefixes each part with its length, so that the end of one part can't be read as the start of
     * the next.
     */
    private static void put(Hasher hasher, String part) {
        byte[] bytes = part.getBytes(UTF_8);
        hasher.putInt(bytes.length).putBytes(bytes);
    }
}
