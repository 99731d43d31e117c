package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.PeerLinks;
import org.masticweir.peer.PeerMessage;
import org.masticweir.peer.Reply;
import org.masticweir.recovery.copy.CopyMessage.KeyOwner;
import org.masticweir.recovery.copy.CopyMessage.RegisterKey;
import org.masticweir.recovery.copy.CopyMessage.ReleaseKey;
import org.masticweir.time.Clock;

/**
 * Registers keys at their homes over the links between routers, and is the home of others' keys.
 *
 * <p>Open it before the links start and call {@link #tick} now and then. Thread-safe; events come
 * on the links' thread, or on the caller's before its call returns.
 */
public final class KeyLinks {
    /** Homes tried before a request goes on alone; the second is for a home just lost. */
    private static final int HOMES = 2;

    private final PeerLinks links;
    private final RouterId self;
    private final KeyHomes homes;
    private final RegisteredKeys keys;
    private final Clock clock;
    private final long boundMs;
    private final LongAdder asked = new LongAdder();
    private final LongAdder joined = new LongAdder();
    private final LongAdder alone = new LongAdder();

    private KeyLinks(
            PeerLinks links,
            RouterId self,
            KeyHomes homes,
            RegisteredKeys keys,
            Clock clock,
            long boundMs) {
        this.links = checkNotNull(links, "links");
        this.self = checkNotNull(self, "self");
        this.homes = checkNotNull(homes, "homes");
        this.keys = checkNotNull(keys, "keys");
        this.clock = checkNotNull(clock, "clock");
        this.boundMs = boundMs;
    }

    /**
     * Registers the handlers of the messages about keys with {@code links}.
     *
     * @param boundMs longest wait for a home
     */
    public static KeyLinks open(
            PeerLinks links,
            RouterId self,
            KeyHomes homes,
            RegisteredKeys keys,
            Clock clock,
            long boundMs) {
        KeyLinks opened = new KeyLinks(links, self, homes, keys, clock, boundMs);
        links.on(RegisterKey.class, (from, m, reply) -> opened.register(m, reply));
        links.on(ReleaseKey.class, (from, m, reply) -> opened.release(m));
        return opened;
    }

    /** Returns the question for the owner of {@code request}, which {@link #carryOut} sends. */
    public KeyAsk question(RequestId request) {
        asked.increment();
        return KeyAsk.of(self, homes.firstFor(request, HOMES), boundMs);
    }

    /** Sends one question; a home that only stays silent gives no event. */
    public void carryOut(RequestId request, KeyAction.Ask ask, Consumer<KeyEvent> events) {
        if (ask.home().equals(self)) {
            events.accept(new KeyEvent.Answered(registerHere(request, self)));
            return;
        }
        links.ask(ask.home(), new RegisterKey(request, self, false), boundMs)
                .whenComplete(
                        (reply, error) -> {
                            if (reply instanceof KeyOwner o) {
                                events.accept(new KeyEvent.Answered(o.owner()));
                            } else if (!isSilence(error)) {
                                events.accept(new KeyEvent.Unreachable());
                            }
                        });
    }

    /** Counts how a question ended. */
    public void decided(KeyAction how) {
        if (how instanceof KeyAction.Join) {
            joined.increment();
        } else if (how instanceof KeyAction.RunAlone) {
            alone.increment();
        }
    }

    /** Has the home forget that {@code owner}, which nobody finds, has the key; a best effort. */
    public void release(RequestId request, RouterId owner) {
        ImmutableList<RouterId> first = homes.firstFor(request, 1);
        if (first.get(0).equals(self)) {
            keys.release(request, owner);
        } else {
            links.send(first.get(0), new ReleaseKey(request, owner, false));
        }
    }

    /** Forgets keys past their time. */
    public void tick() {
        keys.expire(clock.nowMs());
    }

    /** Returns how many requests asked for their key's owner. */
    public long asked() {
        return asked.sum();
    }

    /** Returns how many requests were left to the owner that the home named. */
    public long joined() {
        return joined.sum();
    }

    /** Returns how many requests went on without an answer, perhaps as a second owner. */
    public long alone() {
        return alone.sum();
    }

    /** Returns how many keys are registered here. */
    public int held() {
        return keys.count();
    }

    /**
     * Registers a key here, or passes the question on to the home in this domain.
     *
     * <p>A router of another domain knows only a few here, and another two may be known to the next
     * one. Passed on once only: two routers that see this domain differently would otherwise send a
     * question round between them.
     */
    private void register(RegisterKey m, Reply reply) {
        RouterId home = homes.inOwnDomain(m.request());
        if (m.passedOn() || home.equals(self)) {
            reply.send(new KeyOwner(registerHere(m.request(), m.asking())));
            return;
        }
        links.ask(home, new RegisterKey(m.request(), m.asking(), true), boundMs)
                .whenComplete((answer, error) -> passBack(answer, reply));
    }

    private static void passBack(PeerMessage answer, Reply reply) {
        if (answer instanceof KeyOwner owner) {
            reply.send(owner);
        } else {
            reply.fail(
                    MasticweirException.notRun(
                            ErrorCode.NOT_FOUND, "the key's home does not answer"));
        }
    }

    private void release(ReleaseKey m) {
        RouterId home = homes.inOwnDomain(m.request());
        if (m.passedOn() || home.equals(self)) {
            keys.release(m.request(), m.owner());
        } else {
            links.send(home, new ReleaseKey(m.request(), m.owner(), true));
        }
    }

    private RouterId registerHere(RequestId request, RouterId asking) {
        return keys.register(request, asking, clock.nowMs());
    }

    /** Silence is judged by the question's own bound, so that it is counted once. */
    private static boolean isSilence(Throwable error) {
        Throwable cause = error instanceof CompletionException c ? c.getCause() : error;
        return cause instanceof MasticweirException e && e.code() == ErrorCode.DEADLINE_EXCEEDED;
    }
}
