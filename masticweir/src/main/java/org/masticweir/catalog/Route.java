package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Where requests for one host and path prefix go, and what may be done with them; immutable.
 *
 * @param host host name in lower case
 * @param prefix begins and ends with a slash
 * @param streams whether answers are series of numbered events
 * @param timeoutMs longest time that a request is kept waiting
 * @param goalMs time within which an answer, or its first event, is on time
 * @param gapGoalMs longest pause between events of an answer that is on time; 0 for none
 * @param priority rank, lower goes first
 * @param attempts servers to which one request may be sent at most
 * @param open whether requests need no team
 * @param shares services by weight
 */
public record Route(
        String name,
        String host,
        String prefix,
        Repeatability repeatability,
        boolean streams,
        long timeoutMs,
        long goalMs,
        long gapGoalMs,
        int priority,
        int attempts,
        boolean open,
        ImmutableList<Share> shares) {
    public Route {
        checkNotNull(name, "name");
        checkNotNull(host, "host");
        checkArgument(
                prefix.startsWith("/") && prefix.endsWith("/"), "prefix %s lacks a slash", prefix);
        checkNotNull(repeatability, "repeatability");
        checkArgument(timeoutMs >= 1, "timeout %s ms", timeoutMs);
        checkArgument(attempts >= 1, "attempts %s", attempts);
        checkArgument(!shares.isEmpty(), "route %s has no service", name);
    }

    /** A service's part of a route's requests. */
    public record Share(ServiceName service, int weight) {
        public Share {
            checkNotNull(service, "service");
            checkArgument(weight >= 0, "weight %s", weight);
        }
    }

    /**
     * Returns the service of one request.
     *
     * @param draw any number; equal draws give equal services
     */
    public ServiceName service(int draw) {
        int total = shares.stream().mapToInt(Share::weight).sum();
        if (total == 0) {
            return shares.get(0).service();
        }
        int left = Math.floorMod(draw, total);
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        throw new IllegalStateException("weights of " + name + " do not add up");
    }
}
