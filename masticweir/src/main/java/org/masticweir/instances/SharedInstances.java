package org.masticweir.instances;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.store.InstanceRecord;

/**
 * Keeps the instance list as a domain's routers read it in turns and tell each other.
 *
 * <p>Failure guarded against: the router whose turn it is cannot read, or its news is lost. The
 * others read in their turns. News says from which list it leads to which; where it does not fit,
 * an earlier one was missed, and the router reads the list itself at once. A read that began before
 * news was taken may be older than the news, so it counts for nothing and is made again.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class SharedInstances {
    private final ReadPace pace;
    private final Supplier<? extends RandomGenerator> random;
    private Map<String, InstanceRecord> known = new LinkedHashMap<>();
    private long digest;
    private boolean read;
    private boolean behind;
    private boolean underWay;
    private long newsTaken;
    private long newsAtStart;
    private long nextMs = Long.MIN_VALUE;

    private SharedInstances(ReadPace pace, Supplier<? extends RandomGenerator> random) {
        this.pace = checkNotNull(pace, "pace");
        this.random = checkNotNull(random, "random");
    }

    /** Returns an empty list, which is read at {@code pace}. */
    public static SharedInstances every(ReadPace pace, Supplier<? extends RandomGenerator> random) {
        return new SharedInstances(pace, random);
    }

    /**
     * Tells whether the list is to be read now; each yes is followed by {@link #read} or {@link
     * #notRead}.
     *
     * @param routers how many serving routers of the domain, this one included, share the reads
     */
    public boolean due(int routers, long nowMs) {
        if (underWay || (nowMs < nextMs && !behind)) {
            return false;
        }
        underWay = true;
        behind = false;
        newsAtStart = newsTaken;
        nextMs = nowMs + waitMs(routers);
        return true;
    }

    /** Takes the list that was read; returns what to tell peers, if anything changed. */
    public Optional<InstanceNews> read(List<InstanceRecord> listed) {
        underWay = false;
        if (newsTaken != newsAtStart) {
            behind = true;
            return Optional.empty();
        }
        Map<String, InstanceRecord> next = new LinkedHashMap<>();
        listed.forEach(i -> next.put(i.id(), i));
        Optional<InstanceNews> news = read ? between(known, next) : Optional.empty();
        read = true;
        known = next;
        digest = digestOf(next);
        return news;
    }

    /** Takes note that a read brought no list. */
    public void notRead() {
        underWay = false;
    }

    /** Takes what a peer found; returns whether the list changed. */
    public boolean heard(InstanceNews news) {
        if (!read || news.to() == digest) {
            return false;
        }
        Map<String, InstanceRecord> next = new LinkedHashMap<>(known);
        news.gone().forEach(next::remove);
        news.put().forEach(i -> next.put(i.id(), i));
        if (news.from() != digest || digestOf(next) != news.to()) {
            behind = true;
            return false;
        }
        known = next;
        digest = news.to();
        newsTaken++;
        return true;
    }

    /** Returns the list as known now. */
    public ImmutableList<InstanceRecord> list() {
        return ImmutableList.copyOf(known.values());
    }

    private long waitMs(int routers) {
        if (!read) {
            return pace.pollMs();
        }
        long meanMs = pace.meanMs(routers, known.size());
        if (routers <= ReadPace.FULL_RATE_ROUTERS) {
            return meanMs;
        }
        return Math.round(meanMs * (0.5 + random.get().nextDouble()));
    }

    private static Optional<InstanceNews> between(
            Map<String, InstanceRecord> before, Map<String, InstanceRecord> after) {
        List<InstanceRecord> put = new ArrayList<>();
        after.forEach(
                (id, i) -> {
                    if (!i.equals(before.get(id))) {
                        put.add(i);
                    }
                });
        List<String> gone = before.keySet().stream().filter(id -> !after.containsKey(id)).toList();
        int changes = put.size() + gone.size();
        if (changes == 0 || changes > InstanceNews.MAX_CHANGES) {
            return Optional.empty();
        }
        return Optional.of(
                new InstanceNews(
                        digestOf(before),
                        digestOf(after),
                        ImmutableList.copyOf(put),
                        ImmutableList.copyOf(gone)));
    }

    /** Returns a digest that does not depend on the order of the rows. */
    private static long digestOf(Map<String, InstanceRecord> instances) {
        long sum = 0;
        for (InstanceRecord i : instances.values()) {
            sum += Hashing.murmur3_128().hashString(text(i), StandardCharsets.UTF_8).asLong();
        }
        return sum;
    }

    private static String text(InstanceRecord i) {
        return String.join(
                "\0",
                i.id(),
                i.kind().wireName(),
                i.group(),
                i.domain().value(),
                i.address().getAddress().getHostAddress(),
                Integer.toString(i.address().getPort()),
                Boolean.toString(i.leaving()));
    }
}
