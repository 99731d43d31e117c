package org.masticweir.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.masticweir.id.DomainId;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyAction;
import org.masticweir.recovery.copy.CopyEvent;
import org.masticweir.recovery.copy.CopyLookup;
import org.masticweir.recovery.copy.HolderAnswer;
import org.masticweir.recovery.copy.LookupAction;
import org.masticweir.recovery.copy.LookupEvent;
import org.masticweir.recovery.copy.LookupLimits;
import org.masticweir.time.ManualScheduler;

/** Replays an hour without the other domains on the copies of requests under way. */
final class IsolatedCopies extends Replay {
    private static final long ONE_WAY_MS = 1;
    private static final long FOUND_DEAD_AFTER_MS = 3_000;
    private static final long FOUND_BACK_AFTER_MS = 500;
    private static final long EXPIRE_EVERY_MS = 5_000;
    private static final long CHECK_EVERY_MS = 10_000;
    private static final long SECOND_MS = 1_000;
    private static final long SETTLED_AFTER_MS = 5_000;
    private static final int CANDIDATES = 4;

    private final boolean heedsFences;
    private final ManualScheduler scheduler = new ManualScheduler();
    private final Map<RouterId, CopyNode> nodes = new LinkedHashMap<>();
    private final Set<DomainId> cutOff = new HashSet<>();
    private final Map<String, Integer> sent = new HashMap<>();
    private final ObjectNode seen = JsonNodeFactory.instance.objectNode();
    private int freedEarly;

    /** Without {@code heedsFences} the plain policy is replayed: an owner is one for ever. */
    IsolatedCopies(boolean heedsFences) {
        this.heedsFences = heedsFences;
        scheduler.at(EXPIRE_EVERY_MS, this::expire);
        scheduler.at(CHECK_EVERY_MS, this::check);
    }

    @Override
    void passTo(long ms) {
        scheduler.runTo(ms);
        moveTo(ms);
    }

    @Override
    void apply(Trace.Event event) {
        switch (event.kind()) {
            case "up" -> up(event);
            case "offered" -> offer(event, 0);
            case "cut_off" -> cut(DomainId.of(event.text("domain")));
            case "healed" -> heal(DomainId.of(event.text("domain")));
            case "came_back" -> comeBack(event);
            case "looked" -> look(event.text("as"));
            default -> throw unknown(event);
        }
    }

    private void up(Trace.Event event) {
        RouterId id = RouterId.of(event.text("router"));
        DomainId domain = DomainId.of(event.text("domain"));
        nodes.put(id, new CopyNode(id, domain, scheduler, this::send, heedsFences));
        refresh();
    }

    private void offer(Trace.Event event, int n) {
        long now = scheduler.clock().nowMs();
        if (now >= event.number("until_ms")) {
            return;
        }
        node(event)
                .submit(
                        event.text("router") + "-" + event.text("kind") + n,
                        event.number("tokens"),
                        event.number("token_ms"));
        scheduler.at(now + event.number("every_ms"), () -> offer(event, n + 1));
    }

    private CopyNode node(Trace.Event event) {
        return nodes.get(RouterId.of(event.text("router")));
    }

    private void cut(DomainId domain) {
        cutOff.add(domain);
        after(FOUND_DEAD_AFTER_MS, this::refresh);
    }

    private void heal(DomainId domain) {
        cutOff.remove(domain);
        sent.clear();
        after(FOUND_BACK_AFTER_MS, this::refresh);
        after(FOUND_BACK_AFTER_MS + SECOND_MS, this::countMessages);
        after(SETTLED_AFTER_MS, this::countOwners);
    }

    /** Each router's membership comes to agree with the links as they are. */
    private void refresh() {
        for (CopyNode n : nodes.values()) {
            ImmutableMap.Builder<RouterId, DomainId> reached = ImmutableMap.builder();
            nodes.values().stream()
                    .filter(other -> reaches(n, other))
                    .forEach(other -> reached.put(other.id(), other.domain()));
            n.sees(reached.buildOrThrow());
        }
    }

    private boolean reaches(CopyNode a, CopyNode b) {
        boolean cut = cutOff.contains(a.domain()) || cutOff.contains(b.domain());
        return a.domain().equals(b.domain()) || !cut;
    }

    private void send(CopyNode from, CopyNode.Owned request, CopyAction.SendToHolder s) {
        CopyNode to = nodes.get(s.holder());
        sent.merge(request.request().value(), 1, Integer::sum);
        after(
                ONE_WAY_MS,
                () -> {
                    if (reaches(from, to)) {
                        HolderAnswer answer = to.apply(s.command());
                        after(ONE_WAY_MS, () -> answered(from, to, request, s, answer));
                    }
                });
    }

    private void answered(
            CopyNode from,
            CopyNode to,
            CopyNode.Owned request,
            CopyAction.SendToHolder s,
            HolderAnswer answer) {
        if (reaches(from, to)) {
            request.on(new CopyEvent.Answered(s.holder(), s.number(), answer));
        }
    }

    /** A caller comes back through another router while the owner is cut off from it. */
    private void comeBack(Trace.Event event) {
        CopyNode at = node(event);
        RequestId request = RequestId.of(event.text("request"));
        CopyLookup lookup =
                CopyLookup.of(
                        LookupLimits.defaults(),
                        at.id(),
                        at.ranking().candidatesFor(request, at.id(), CANDIDATES));
        carryOut(event, at, request, lookup, lookup.start(scheduler.clock().nowMs()));
    }

    private void carryOut(
            Trace.Event event,
            CopyNode at,
            RequestId request,
            CopyLookup lookup,
            List<LookupAction> actions) {
        long now = scheduler.clock().nowMs();
        for (LookupAction action : actions) {
            if (action instanceof LookupAction.TakenOver taken) {
                at.goOn(taken.copy(), event.number("tokens"), event.number("token_ms"));
            } else if (action instanceof LookupAction.WakeAt wake) {
                scheduler.at(
                        wake.atMs(),
                        () -> tell(event, at, request, lookup, new LookupEvent.Tick()));
            } else {
                answer(at, request, action, now)
                        .forEach(
                                e ->
                                        after(
                                                2 * ONE_WAY_MS,
                                                () -> tell(event, at, request, lookup, e)));
            }
        }
    }

    private void tell(
            Trace.Event event,
            CopyNode at,
            RequestId request,
            CopyLookup lookup,
            LookupEvent what) {
        carryOut(event, at, request, lookup, lookup.on(what, scheduler.clock().nowMs()));
    }

    /** Returns what the router asked answers; nothing comes from one that is cut off. */
    private List<LookupEvent> answer(
            CopyNode at, RequestId request, LookupAction action, long nowMs) {
        List<LookupEvent> events = new ArrayList<>();
        if (action instanceof LookupAction.Find f && reaches(at, nodes.get(f.router()))) {
            events.add(
                    new LookupEvent.FindAnswered(f.router(), nodes.get(f.router()).find(request)));
        } else if (action instanceof LookupAction.TakeOver t) {
            HolderAnswer a =
                    nodes.get(t.holder()).store().takeOver(request, t.expected(), at.id(), nowMs);
            events.add(new LookupEvent.HolderAnswered(t.holder(), a));
        } else if (action instanceof LookupAction.Fence f) {
            HolderAnswer a = nodes.get(f.candidate()).store().fence(request, f.epoch(), nowMs);
            events.add(new LookupEvent.HolderAnswered(f.candidate(), a));
        }
        return events;
    }

    private void expire() {
        nodes.values().forEach(n -> n.store().expire(scheduler.clock().nowMs()));
        after(EXPIRE_EVERY_MS, this::expire);
    }

    /** A protected request has, at some holder, all that its callers may have seen. */
    private void check() {
        for (CopyNode n : nodes.values()) {
            for (CopyNode.Owned o : n.owned().values()) {
                boolean held =
                        nodes.values().stream()
                                .flatMap(h -> h.store().reads().find(o.request()).stream())
                                .anyMatch(s -> s.held() && s.tokens() >= o.released());
                freedEarly += o.released() == 0 || o.unprotected() || held ? 0 : 1;
            }
        }
        after(CHECK_EVERY_MS, this::check);
    }

    private void countMessages() {
        int all = sent.values().stream().mapToInt(Integer::intValue).sum();
        int most = sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        seen.putObject("first_second")
                .put("requests", sent.size())
                .put("messages", all)
                .put("most_of_one_request", most);
    }

    private void countOwners() {
        Map<String, Integer> owners = new TreeMap<>();
        int unprotected = 0;
        for (CopyNode n : nodes.values()) {
            for (CopyNode.Owned o : n.owned().values()) {
                if (o.running()) {
                    owners.merge(o.request().value(), 1, Integer::sum);
                    unprotected += o.unprotected() ? 1 : 0;
                }
            }
        }
        seen.putObject("after_healing")
                .put("running", owners.size())
                .put("most_owners", owners.values().stream().mapToInt(i -> i).max().orElse(0))
                .put("unprotected", unprotected);
    }

    private void look(String name) {
        ObjectNode at = seen.putObject(name);
        for (CopyNode n : nodes.values()) {
            long running = n.owned().values().stream().filter(CopyNode.Owned::running).count();
            long bare =
                    n.owned().values().stream()
                            .filter(CopyNode.Owned::running)
                            .filter(CopyNode.Owned::unprotected)
                            .count();
            at.putObject(n.id().value())
                    .put("running", Math.toIntExact(running))
                    .put("unprotected", Math.toIntExact(bare))
                    .put("copies", n.store().reads().count());
        }
    }

    @Override
    JsonNode outcome() {
        int undone = nodes.values().stream().mapToInt(CopyNode::endsUndone).sum();
        seen.put("ends_undone", undone);
        return seen.put("copies_freed_early", freedEarly);
    }

    private void after(long ms, Runnable task) {
        scheduler.at(scheduler.clock().nowMs() + ms, task);
    }
}
