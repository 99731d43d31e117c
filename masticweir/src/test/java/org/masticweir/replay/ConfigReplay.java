package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.masticweir.config.ProposedChange;
import org.masticweir.config.StoredRevision;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.membership.Heartbeat;
import org.masticweir.membership.ListedRouter;
import org.masticweir.membership.MembershipAction;
import org.masticweir.membership.MembershipEvent;
import org.masticweir.membership.RouterAddress;

/** Replays changes and cuts on the routers of several failure domains and the platform's table. */
final class ConfigReplay extends Replay {
    private static final long TICK_MS = 500;
    private static final int PORT = 7_000;

    private final boolean anyRevision;
    private final ConfigTable table = new ConfigTable();
    private final Map<String, ConfigRouter> routers = new LinkedHashMap<>();
    private final Map<String, String> answers = new TreeMap<>();
    private final Set<DomainId> cutOff = new HashSet<>();
    private final Set<DomainId> withoutPlatform = new HashSet<>();
    private final List<String> seen = new ArrayList<>();
    private final Deque<Runnable> inFlight = new ArrayDeque<>();

    /** Under {@code anyRevision} the plain policy is replayed: apply whatever a peer has. */
    ConfigReplay(boolean anyRevision) {
        this.anyRevision = anyRevision;
    }

    @Override
    void passTo(long ms) {
        while (nowMs() + TICK_MS <= ms) {
            moveTo(nowMs() + TICK_MS);
            routers.values().forEach(this::tick);
        }
        moveTo(ms);
    }

    private void tick(ConfigRouter r) {
        feed(r, new MembershipEvent.Tick());
        r.carryOut(r.config().tick(nowMs()), nowMs());
        if (!withoutPlatform.contains(r.where().domain())) {
            r.poll(nowMs());
        }
        feed(r, r.own());
        while (!inFlight.isEmpty()) {
            inFlight.remove().run();
        }
    }

    @Override
    void apply(Trace.Event event) {
        switch (event.kind()) {
            case "up" -> up(event.text("router"), DomainId.of(event.text("domain")));
            case "listed" -> list();
            case "proposed" -> propose(event);
            case "cut_off" -> cutsFrom(event).add(DomainId.of(event.text("domain")));
            case "healed" -> cutsFrom(event).remove(DomainId.of(event.text("domain")));
            case "looked" -> look(event.text("router"), event.text("at"));
            default -> throw unknown(event);
        }
    }

    private Set<DomainId> cutsFrom(Trace.Event event) {
        return event.text("from").equals("platform") ? withoutPlatform : cutOff;
    }

    private void up(String id, DomainId domain) {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), PORT + routers.size());
        RouterAddress where = RouterAddress.of(RouterId.of(id), domain, address, 1);
        routers.put(id, new ConfigRouter(where, anyRevision, table, answers));
    }

    private void list() {
        List<ListedRouter> rows =
                routers.values().stream().map(r -> new ListedRouter(r.where(), false)).toList();
        ImmutableSet<DomainId> domains =
                routers.values().stream()
                        .map(r -> r.where().domain())
                        .collect(ImmutableSet.toImmutableSet());
        for (ConfigRouter r : routers.values()) {
            r.config().domainsKnown(domains);
            feed(r, new MembershipEvent.Listed(rows));
        }
    }

    private void propose(Trace.Event event) {
        ConfigRouter r = routers.get(event.text("router"));
        ProposedChange change =
                new ProposedChange(
                        event.text("change"), event.number("base"), "ada", 1, document(), false);
        r.carryOut(r.config().propose(change, nowMs()), nowMs());
    }

    private static String document() {
        try {
            return Resources.toString(
                    Resources.getResource("traces/deployment.ini"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void look(String router, String at) {
        String state = routers.get(router).stateOf(RouterId.of(at)).name();
        seen.add(router + ":" + at + ":" + state);
    }

    private void feed(ConfigRouter r, MembershipEvent event) {
        for (MembershipAction action : r.apply(event, nowMs())) {
            if (action instanceof MembershipAction.SendHeartbeat send) {
                carry(r, send.to(), send.beat(), true);
            } else if (action instanceof MembershipAction.AnswerHeartbeat answer) {
                carry(r, answer.to(), answer.beat(), false);
            }
        }
    }

    private void carry(ConfigRouter from, RouterId to, Heartbeat beat, boolean asked) {
        ConfigRouter target = routers.get(to.value());
        if (cutOff.contains(from.where().domain()) == cutOff.contains(target.where().domain())) {
            Optional<StoredRevision> held = from.row();
            inFlight.add(() -> hear(target, held, new MembershipEvent.Heard(beat, asked)));
        }
    }

    /** A heartbeat comes, and with it what its sender held; the product asks for that by a call. */
    private void hear(ConfigRouter r, Optional<StoredRevision> held, MembershipEvent.Heard heard) {
        feed(r, heard);
        held.ifPresent(row -> r.offered(row, nowMs()));
    }

    @Override
    JsonNode outcome() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode inForce = root.putObject("in_force");
        for (ConfigRouter r : routers.values()) {
            ArrayNode revisions = inForce.putArray(r.where().router().value());
            r.inForce().forEach(v -> revisions.add(Math.toIntExact(v)));
        }
        ObjectNode told = root.putObject("answers");
        answers.forEach(told::put);
        ArrayNode states = root.putArray("seen");
        seen.forEach(states::add);
        return root;
    }
}
