package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.Optional;
import org.masticweir.id.RouterId;

/**
 * Decides, before anything of a request is sent, whether another domain's router runs it.
 *
 * <p>Start it only once the holder has granted the request, or none can be reached. A router that
 * asked earlier could be named the owner here and then be told by its holder to follow the very
 * router that is told here to follow it: each would read from the other and neither would run it.
 *
 * <p>Feed it what happened with {@link #on}; it returns what to do. Not thread-safe: owned by the
 * thread of its request.
 */
public final class KeyAsk {
    /** Longest wait for the key's home; a home that is cut off costs each request this much. */
    public static final long BOUND_MS = 250;

    private final RouterId self;
    private final Iterator<RouterId> homes;
    private final long boundMs;
    private Optional<RouterId> asked = Optional.empty();
    private long dueAtMs;
    private boolean done;

    private KeyAsk(RouterId self, ImmutableList<RouterId> homes, long boundMs) {
        checkArgument(boundMs > 0, "key_home_bound_ms %s", boundMs);
        this.self = checkNotNull(self, "self");
        this.homes = homes.iterator();
        this.boundMs = boundMs;
    }

    /**
     * Returns the question of {@code self}.
     *
     * @param homes where to ask, each only if the one before could not be reached at all
     */
    public static KeyAsk of(RouterId self, ImmutableList<RouterId> homes, long boundMs) {
        return new KeyAsk(self, homes, boundMs);
    }

    /** Returns the first actions. */
    public ImmutableList<KeyAction> start(long nowMs) {
        dueAtMs = nowMs + boundMs;
        return next();
    }

    /** Takes one event and returns what to do about it; what comes after the decision is late. */
    public ImmutableList<KeyAction> on(KeyEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (done) {
            // The request runs here by now and callers may have tokens of it: its generation goes
            // on, and a caller of the other owner gets that one's whole answer.
            return ImmutableList.of();
        }
        if (event instanceof KeyEvent.Answered answered) {
            boolean own = answered.owner().equals(self);
            return decide(own ? new KeyAction.Run() : new KeyAction.Join(answered.owner()));
        }
        if (event instanceof KeyEvent.Unreachable) {
            return next();
        }
        return onTick(nowMs);
    }

    private ImmutableList<KeyAction> onTick(long nowMs) {
        if (nowMs < dueAtMs) {
            return ImmutableList.of(new KeyAction.WakeAt(dueAtMs));
        }
        if (nowMs - dueAtMs > boundMs) {
            // A pause of this process shows as a tick long after its time. The home's answer may
            // have come meanwhile, so its silence proves nothing: it is asked once more.
            dueAtMs = nowMs + boundMs;
            return ask(asked.orElseThrow());
        }
        return decide(new KeyAction.RunAlone());
    }

    private ImmutableList<KeyAction> next() {
        return homes.hasNext() ? ask(homes.next()) : decide(new KeyAction.RunAlone());
    }

    private ImmutableList<KeyAction> ask(RouterId home) {
        asked = Optional.of(home);
        return ImmutableList.of(new KeyAction.WakeAt(dueAtMs), new KeyAction.Ask(home));
    }

    private ImmutableList<KeyAction> decide(KeyAction how) {
        done = true;
        return ImmutableList.of(how);
    }
}
