package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.KeyAction;
import org.masticweir.recovery.copy.KeyAsk;
import org.masticweir.recovery.copy.KeyEvent;
import org.masticweir.recovery.copy.RegisteredKeys;

/** Replays the submissions of one key at routers of several domains, each granted by its holder. */
final class KeyReplay extends Replay {
    private static final RequestId KEY = RequestId.of("r");
    private static final RouterId HOME = RouterId.of("home");

    private final boolean eachDomainAlone;
    private final RegisteredKeys registered = RegisteredKeys.create();
    private final Map<String, KeyAsk> asks = new TreeMap<>();
    private final Map<String, RouterId> answers = new TreeMap<>();
    private final Map<String, String> became = new TreeMap<>();

    /** Under {@code eachDomainAlone} the plain policy is replayed: run what the holder grants. */
    KeyReplay(boolean eachDomainAlone) {
        this.eachDomainAlone = eachDomainAlone;
    }

    @Override
    void passTo(long ms) {
        moveTo(ms);
        asks.keySet().forEach(r -> tell(r, new KeyEvent.Tick()));
    }

    @Override
    void apply(Trace.Event event) {
        String router = event.text("router");
        switch (event.kind()) {
            case "submitted" -> submit(router);
            case "home_hears" ->
                    answers.put(router, registered.register(KEY, RouterId.of(router), nowMs()));
            case "answer_comes" -> tell(router, new KeyEvent.Answered(answers.get(router)));
            case "link_is_down" -> tell(router, new KeyEvent.Unreachable());
            case "owner_not_found" -> registered.release(KEY, RouterId.of(event.text("owner")));
            case "wakes" -> tell(router, new KeyEvent.Tick());
            default -> throw unknown(event);
        }
    }

    private void submit(String router) {
        if (eachDomainAlone) {
            became.put(router, "runs");
            return;
        }
        KeyAsk ask = KeyAsk.of(RouterId.of(router), ImmutableList.of(HOME), KeyAsk.BOUND_MS);
        asks.put(router, ask);
        became.put(router, "waits");
        carryOut(router, ask.start(nowMs()));
    }

    private void tell(String router, KeyEvent event) {
        if (!eachDomainAlone) {
            carryOut(router, asks.get(router).on(event, nowMs()));
        }
    }

    private void carryOut(String router, List<KeyAction> actions) {
        for (KeyAction action : actions) {
            if (action instanceof KeyAction.Run) {
                became.put(router, "runs");
            } else if (action instanceof KeyAction.RunAlone) {
                became.put(router, "runs alone");
            } else if (action instanceof KeyAction.Join join) {
                became.put(router, "reads from " + join.owner());
            }
        }
    }

    @Override
    JsonNode outcome() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        became.forEach(root::put);
        return root;
    }
}
