package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.masticweir.control.LeaseAction;
import org.masticweir.control.LeasePolicy;
import org.masticweir.control.LeaseState;
import org.masticweir.id.RouterId;
import org.masticweir.store.MemoryTable;

/** Replays routers that hold one lease in turn and order an engine that checks fencing numbers. */
final class OrdersReplay extends Replay {
    private static final long TICK_MS = 100;

    private final boolean trustsHolder;
    private final MemoryTable table = new MemoryTable();
    private final Map<String, Router> routers = new TreeMap<>();
    private final List<String> taken = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private final List<String> withheld = new ArrayList<>();
    private long highest;

    /** Under {@code trustsHolder} the plain policy is replayed: who once held the lease may act. */
    OrdersReplay(boolean trustsHolder) {
        this.trustsHolder = trustsHolder;
    }

    /** A router with its view of the lease. */
    private static final class Router {
        private final LeaseState lease;
        private boolean paused;
        private Optional<String> checked = Optional.empty();

        Router(String id) {
            lease = LeaseState.of("domain", RouterId.of(id), LeasePolicy.defaults());
        }
    }

    @Override
    void passTo(long ms) {
        while (nowMs() + TICK_MS <= ms) {
            moveTo(nowMs() + TICK_MS);
            routers.values().stream().filter(r -> !r.paused).forEach(this::tick);
        }
        moveTo(ms);
    }

    private void tick(Router r) {
        Optional<LeaseAction> action = r.lease.onTick(nowMs());
        while (action.isPresent()) {
            if (action.get() instanceof LeaseAction.Read read) {
                r.lease.onRow(read.ticket(), table.row(read.key()), nowMs());
            } else if (action.get() instanceof LeaseAction.Write write) {
                r.lease.onWritten(write.ticket(), table.apply(write.transaction()), nowMs());
            }
            action = r.lease.onTick(nowMs());
        }
    }

    @Override
    void apply(Trace.Event event) {
        String id = event.text("router");
        switch (event.kind()) {
            case "up" -> routers.put(id, new Router(id));
            case "pause" -> routers.get(id).paused = true;
            case "resume" -> routers.get(id).paused = false;
            case "order" -> order(id, routers.get(id), event.text("order"));
            case "check" -> check(routers.get(id), event.text("order"));
            case "send_checked" ->
                    routers.get(id).checked.ifPresent(o -> send(id, routers.get(id), o));
            default -> throw unknown(event);
        }
    }

    private void check(Router r, String order) {
        r.checked = Optional.of(order).filter(o -> r.lease.mayAct(nowMs()));
    }

    private void order(String id, Router r, String order) {
        if (trustsHolder ? r.lease.fencing() > 0 : r.lease.mayAct(nowMs())) {
            send(id, r, order);
        } else {
            withheld.add(id + ":" + order);
        }
    }

    private void send(String id, Router r, String order) {
        if (!trustsHolder && r.lease.fencing() < highest) {
            refused.add(id + ":" + order);
            return;
        }
        highest = Math.max(highest, r.lease.fencing());
        taken.add(id + ":" + order);
    }

    @Override
    JsonNode outcome() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        add(root.putArray("taken"), taken);
        add(root.putArray("refused"), refused);
        add(root.putArray("withheld"), withheld);
        return root;
    }

    private static void add(ArrayNode to, List<String> orders) {
        orders.forEach(to::add);
    }
}
