package org.masticweir.recovery.copy;

/**
 * What copying tokens has cost a router since it started; an immutable snapshot.
 *
 * @param tokens sent in appends
 * @param appends sent, one a request and batch
 * @param batches frames that carried them
 * @param bytes of those frames and of their replies
 */
public record CopyTraffic(long tokens, long appends, long batches, long bytes) {
    public double bytesPerToken() {
        return tokens == 0 ? 0 : (double) bytes / tokens;
    }
}
