package org.masticweir.retry;

/** First sends and retries of the last ten seconds, in buckets of a second; not thread-safe. */
final class SendWindow {
    static final int BUCKET_COUNT = 10;
    static final long BUCKET_MS = 1_000;

    private final int[] firstSends = new int[BUCKET_COUNT];
    private final int[] retries = new int[BUCKET_COUNT];
    private long currentBucket = Long.MIN_VALUE;
    private int firstSendSum;
    private int retrySum;

    void addFirstSend(long nowMs) {
        firstSends[advance(nowMs)]++;
        firstSendSum++;
    }

    void addRetry(long nowMs) {
        retries[advance(nowMs)]++;
        retrySum++;
    }

    /** Removes a retry that was added at {@code addedMs}, if it is still in the window. */
    void removeRetry(long addedMs, long nowMs) {
        advance(nowMs);
        long bucket = Math.floorDiv(addedMs, BUCKET_MS);
        int i = Math.floorMod(bucket, BUCKET_COUNT);
        if (bucket > currentBucket - BUCKET_COUNT && retries[i] > 0) {
            retries[i]--;
            retrySum--;
        }
    }

    int firstSends(long nowMs) {
        advance(nowMs);
        return firstSendSum;
    }

    int retries(long nowMs) {
        advance(nowMs);
        return retrySum;
    }

    /**
     * Clears the buckets that are older than the window and returns the index of the current
     * bucket.
     */
    private int advance(long nowMs) {
        long bucket = Math.max(currentBucket, Math.floorDiv(nowMs, BUCKET_MS));
        long lastClearedBucket =
                currentBucket < bucket - BUCKET_COUNT ? bucket - BUCKET_COUNT : currentBucket;
        for (long b = lastClearedBucket + 1; b <= bucket; b++) {
            int i = Math.floorMod(b, BUCKET_COUNT);
            firstSendSum -= firstSends[i];
            retrySum -= retries[i];
            firstSends[i] = 0;
            retries[i] = 0;
        }
        currentBucket = bucket;
        return Math.floorMod(bucket, BUCKET_COUNT);
    }
}
