package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.catalog.Catalog;
import org.masticweir.catalog.ServerLife;
import org.masticweir.forward.SendGate;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;
import org.masticweir.metrics.MetricName;
import org.masticweir.peer.PeerMessage;
import org.masticweir.quarantine.CrashRecord;
import org.masticweir.quarantine.Loss;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.Quarantine.Change;
import org.masticweir.quarantine.Quarantine.News;
import org.masticweir.quarantine.SendRule;
import org.masticweir.relay.RelayMessages.CrashNews;
import org.masticweir.relay.ServerCheck.Fate;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * Joins the quarantine with requests, servers, peers and the store; on the traffic thread.
 *
 * <p>A lost send speaks against its content only if its server is shown to have ended: it takes no
 * connection right after it broke one, another life has its address, or its entry lapses.
 */
final class QuarantineControl implements PeerExchange.CrashListener {
    private static final Logger LOG = LogManager.getLogger(QuarantineControl.class);

    /** How long the entry of a silent server is watched, in ms: three heartbeats and more. */
    private static final long LAPSE_MS = 10_000;

    /** Servers at which losses wait for an entry to lapse. */
    private static final int MOST_SILENT = 1_024;

    /** How long changes are gathered, in ms; short beside the start of a run. */
    private static final long GATHER_MS = 5;

    private final Quarantine quarantine;
    private final ServerCheck check;
    private final Clock clock;
    private final XnioIoThread thread;
    private final Consumer<CrashRecord> keep;
    private final Supplier<? extends Iterable<RouterId>> peers;
    private final BiConsumer<RouterId, PeerMessage> send;
    private final Set<Sender> underWay = new LinkedHashSet<>();
    private final Map<ServerLife, SilentServer> silent = new HashMap<>();
    private final Counter suspected;
    private final Counter quarantined;
    private final Counter cleared;
    private boolean gathering;

    /** A request under way. */
    interface Sender {
        ContentId content();

        /** Returns whether its server has run it for longer than a trial lasts. */
        boolean runsWell();

        /** The content was put into quarantine. */
        void quarantined();
    }

    /** A server that fell silent, and the losses of the contents that it had begun to run. */
    private static final class SilentServer {
        private final Map<ContentId, Loss> losses = new HashMap<>();
        private long untilMs;
    }

    /**
     * Creates a control.
     *
     * @param keep keeps a record where it outlasts this router
     * @param send may be called from the traffic thread
     */
    QuarantineControl(
            Quarantine quarantine,
            ServerCheck check,
            Clock clock,
            XnioIoThread thread,
            MetricRegistry metrics,
            Consumer<CrashRecord> keep,
            Supplier<? extends Iterable<RouterId>> peers,
            BiConsumer<RouterId, PeerMessage> send) {
        this.quarantine = checkNotNull(quarantine, "quarantine");
        this.check = checkNotNull(check, "check");
        this.clock = checkNotNull(clock, "clock");
        this.thread = checkNotNull(thread, "thread");
        this.keep = checkNotNull(keep, "keep");
        this.peers = checkNotNull(peers, "peers");
        this.send = checkNotNull(send, "send");
        suspected = metrics.counter(MetricName.of("contents_suspected_total"));
        quarantined = metrics.counter(MetricName.of("contents_quarantined_total"));
        cleared = metrics.counter(MetricName.of("contents_cleared_total"));
    }

    /**
     * Returns the gate of a request; its content is worked out once something is held against any.
     */
    SendGate gate(Supplier<ContentId> content) {
        return new SendGate() {
            @Override
            public SendRule rule(long nowMs) {
                return quarantine.isEmpty() ? SendRule.FREE : quarantine.rule(content.get(), nowMs);
            }

            @Override
            public OptionalLong holdLeftMs(long nowMs) {
                return OptionalLong.of(quarantine.holdLeftMs(content.get(), nowMs));
            }
        };
    }

    void begins(Sender sender) {
        underWay.add(sender);
    }

    void ended(Sender sender) {
        underWay.remove(sender);
    }

    /** A request is sent; returns whether it is on trial. */
    boolean trialBegins(Supplier<ContentId> content) {
        boolean onTrial =
                !quarantine.isEmpty() && quarantine.trialBegins(content.get(), clock.nowMs());
        tell();
        return onTrial;
    }

    void trialEnded(ContentId content) {
        quarantine.trialEnded(content);
        tell();
    }

    /** A request ran for longer than a trial lasts, or got its whole answer. */
    void ranWell(Supplier<ContentId> content) {
        if (!quarantine.isEmpty()) {
            ContentId id = content.get();
            changed(id, quarantine.ranWell(id, clock.nowMs()), "it ran without harm");
        }
    }

    /**
     * {@code server} was lost while it began to run a request that was sent at {@code sentMs}.
     *
     * @param broke whether it broke the connection, so that it was reached a moment ago
     */
    void lost(
            ContentId content,
            BackendServer server,
            long sentMs,
            boolean broke,
            Optional<Catalog> catalog) {
        long now = clock.nowMs();
        Loss loss = new Loss(server.life(), sentMs, now);
        if (broke) {
            // The answer comes within milliseconds; a silent server would hold the request up.
            quarantine.inquiryBegins(content, now);
        }
        check.ask(server, catalog, fate -> found(content, loss, broke, fate));
    }

    private void found(ContentId content, Loss loss, boolean broke, Fate fate) {
        long now = clock.nowMs();
        ServerLife life = loss.life();
        boolean hasEnded = fate == Fate.ENDED || (broke && fate == Fate.UNREACHED);
        LOG.info(
                "quarantine: {} was lost under content {}, {}, {}",
                life,
                content,
                broke ? "connection broken" : "silent",
                fate);
        if (broke) {
            quarantine.inquiryEnded(content);
        }
        if (hasEnded) {
            changed(content, quarantine.ended(content, loss, now), life + " ended under it");
        }
        if (fate == Fate.LIVES) {
            quarantine
                    .heldFor(life)
                    .forEach(c -> changed(c, quarantine.lives(c, life, now), life + " lives"));
        } else if (!hasEnded) {
            awaitLapse(content, loss, now);
        }
    }

    private void awaitLapse(ContentId content, Loss loss, long nowMs) {
        ServerLife life = loss.life();
        if (silent.size() < MOST_SILENT || silent.containsKey(life)) {
            SilentServer server = silent.computeIfAbsent(life, l -> new SilentServer());
            server.losses.put(content, loss);
            server.untilMs = nowMs + LAPSE_MS;
        }
    }

    /** The list of servers has changed; those that fell silent and are not in it have ended. */
    void listed(Set<ServerLife> present) {
        long now = clock.nowMs();
        Iterator<Map.Entry<ServerLife, SilentServer>> each = silent.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<ServerLife, SilentServer> entry = each.next();
            boolean late = now >= entry.getValue().untilMs;
            if (!late && present.contains(entry.getKey())) {
                continue;
            }
            each.remove();
            if (!late) {
                String cause = entry.getKey() + " lapsed under it";
                entry.getValue()
                        .losses
                        .forEach((c, loss) -> changed(c, quarantine.ended(c, loss, now), cause));
            }
        }
    }

    /** A record that outlasted the routers was read. */
    void recalled(CrashRecord record) {
        ContentId content = record.content();
        Change change = quarantine.recalled(record, clock.nowMs());
        log(content, change, "read from the store");
        weighUnderWay(content, change);
    }

    @Override
    public void crashes(RouterId peer, List<News> told) {
        thread.execute(() -> told.forEach(n -> take(peer, n)));
    }

    private void take(RouterId peer, News told) {
        ContentId content = told.record().content();
        Change change = quarantine.told(peer, told, clock.nowMs());
        if (change == Change.QUARANTINED) {
            log(content, change, "word of " + peer);
        } else if (change != Change.NONE) {
            // The router that found it out has written it at a higher level.
            LOG.debug("quarantine: content {} is {}, word of {}", content, change, peer);
        }
        weighUnderWay(content, change);
    }

    @Override
    public void forgetCrashes(RouterId peer) {
        thread.execute(() -> quarantine.forget(peer));
    }

    @Override
    public void tellCrashes(RouterId peer) {
        thread.execute(
                () -> {
                    ImmutableList<News> all = quarantine.all(clock.nowMs());
                    if (!all.isEmpty()) {
                        send.accept(peer, new CrashNews(all));
                    }
                });
    }

    private void changed(ContentId content, Change change, String cause) {
        log(content, change, cause);
        tell();
        if (change != Change.NONE) {
            quarantine.record(content).ifPresent(keep);
        }
        weighUnderWay(content, change);
    }

    /**
     * Copies of a suspect content that run on speak for it. Copies of a quarantined one that have
     * just begun would end their servers too.
     */
    private void weighUnderWay(ContentId content, Change change) {
        if (change != Change.SUSPECTED && change != Change.QUARANTINED) {
            return;
        }
        ImmutableList<Sender> copies =
                underWay.stream()
                        .filter(s -> s.content().equals(content))
                        .collect(ImmutableList.toImmutableList());
        if (copies.stream().anyMatch(Sender::runsWell)) {
            ranWell(() -> content);
        } else if (change == Change.QUARANTINED) {
            copies.forEach(Sender::quarantined);
        }
    }

    /** What changes within a few milliseconds goes out together: a server ends under several. */
    private void tell() {
        if (!gathering && quarantine.hasNews()) {
            gathering = true;
            thread.executeAfter(this::tellNow, GATHER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void tellNow() {
        gathering = false;
        ImmutableList<News> news = quarantine.takeNews(clock.nowMs());
        if (!news.isEmpty()) {
            CrashNews message = new CrashNews(news);
            peers.get().forEach(p -> send.accept(p, message));
        }
    }

    private void log(ContentId content, Change change, String cause) {
        if (change == Change.SUSPECTED) {
            suspected.inc();
            LOG.info("quarantine: content {} is suspect, {}", content, evidence(content, cause));
        } else if (change == Change.QUARANTINED) {
            quarantined.inc();
            LOG.warn(
                    "quarantine: content {} is not sent for {} ms, {}",
                    content,
                    quarantine.holdLeftMs(content, clock.nowMs()),
                    evidence(content, cause));
        } else if (change == Change.CLEARED) {
            cleared.inc();
            LOG.info("quarantine: content {} is cleared, {}", content, cause);
        }
    }

    private String evidence(ContentId content, String cause) {
        return cause
                + "; "
                + quarantine.record(content).map(CrashRecord::ends).orElse(0)
                + " ends counted of "
                + quarantine.held(content);
    }
}
