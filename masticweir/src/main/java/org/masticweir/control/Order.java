package org.masticweir.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * One order to an engine; immutable.
 *
 * @param fencing fencing number of the holder who gives it
 * @param model what to load or unload; empty for orders about the role
 */
public record Order(long fencing, OrderKind kind, Optional<ModelVersion> model) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public Order {
        checkArgument(fencing >= 1, "fencing number %s below 1", fencing);
        checkNotNull(kind, "kind");
        boolean needsModel = kind == OrderKind.LOAD || kind == OrderKind.UNLOAD;
        checkArgument(model.isPresent() == needsModel, "%s with model %s", kind, model);
    }

    static Order about(long fencing, OrderKind kind, ModelVersion model) {
        return new Order(fencing, kind, Optional.of(model));
    }

    static Order about(long fencing, EngineRole role) {
        return new Order(fencing, role.order(), Optional.empty());
    }

    /** Returns the order that {@code body} holds; fails with an argument error on anything else. */
    static Order decode(String body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            OrderKind kind = OrderKind.ofWireName(root.path("kind").asText());
            Optional<ModelVersion> model =
                    root.has("model") ? Optional.of(ModelVersion.decode(root)) : Optional.empty();
            return new Order(root.path("fencing").asLong(), kind, model);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("order is not JSON", e);
        }
    }

    /** Returns the body of the order as engines take it. */
    public String encode() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("fencing", fencing).put("kind", kind.wireName());
        model.ifPresent(
                m ->
                        root.put("model", m.model().value())
                                .put("version", m.version())
                                .put("adapter", m.adapter()));
        return root.toString();
    }
}
