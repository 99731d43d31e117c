package org.masticweir.recovery.copy;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/**
 * The keys registered at one router, each with the router that runs its request.
 *
 * <p>The first router that asks becomes the owner; all later ones are told its name. Kept in memory
 * only: a home that is lost forgets its keys. Thread-safe; bounded, and the key that was asked for
 * longest ago is given up first.
 */
public final class RegisteredKeys {
    private static final int MAX_KEYS = 50_000;
    private static final long KEEP_MS = 600_000;

    private final int maxKeys;
    private final long keepMs;

    /** Runs from the key that was asked for longest ago to the latest. */
    private final Map<RequestId, Owner> owners = new LinkedHashMap<>();

    private RegisteredKeys(int maxKeys, long keepMs) {
        checkArgument(maxKeys > 0, "max_keys %s", maxKeys);
        checkArgument(keepMs > 0, "key_keep_ms %s", keepMs);
        this.maxKeys = maxKeys;
        this.keepMs = keepMs;
    }

    static RegisteredKeys within(int maxKeys, long keepMs) {
        return new RegisteredKeys(maxKeys, keepMs);
    }

    /** Returns an empty registry with room for 50,000 keys, each kept for 10 minutes. */
    public static RegisteredKeys create() {
        return within(MAX_KEYS, KEEP_MS);
    }

    /** Makes {@code asking} the owner of {@code key} unless it has one; returns the owner. */
    public synchronized RouterId register(RequestId key, RouterId asking, long nowMs) {
        checkNotNull(asking, "asking");
        Owner held = owners.remove(checkNotNull(key, "key"));
        boolean lapsed = held == null || held.askedAtMs() <= nowMs - keepMs;
        RouterId owner = lapsed ? asking : held.router();
        if (owners.size() >= maxKeys) {
            Iterator<Owner> oldest = owners.values().iterator();
            oldest.next();
            oldest.remove();
        }
        owners.put(key, new Owner(owner, nowMs));
        return owner;
    }

    /** Forgets that {@code owner} has {@code key}; another owner's registration stays. */
    public synchronized void release(RequestId key, RouterId owner) {
        Owner held = owners.get(checkNotNull(key, "key"));
        if (held != null && held.router().equals(owner)) {
            owners.remove(key);
        }
    }

    /** Forgets the keys past their time. */
    synchronized void expire(long nowMs) {
        Iterator<Owner> oldest = owners.values().iterator();
        while (oldest.hasNext() && oldest.next().askedAtMs() <= nowMs - keepMs) {
            oldest.remove();
        }
    }

    synchronized int count() {
        return owners.size();
    }

    private record Owner(RouterId router, long askedAtMs) {}
}
