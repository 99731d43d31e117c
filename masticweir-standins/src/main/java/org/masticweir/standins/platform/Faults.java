package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.standins.platform.http.Disruption;
import org.masticweir.time.Clock;

/** The faults that are set on the platform stand-in; thread-safe. */
final class Faults implements Disruption {
    static final String CONTROL_PATH = "/control";

    private final Clock clock;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Optional<String> losingTable = Optional.empty();
    private volatile long outageUntilMs;
    private volatile long slowMs;

    private Faults(Clock clock) {
        this.clock = clock;
        outageUntilMs = clock.nowMs();
    }

    static Faults none(Clock clock) {
        return new Faults(clock);
    }

    /** Starts an outage of {@code ms} from now; 0 ends the one that runs. */
    void setOutageMs(long ms) {
        checkArgument(ms >= 0, "outage of %s ms", ms);
        outageUntilMs = clock.nowMs() + ms;
    }

    void setSlowMs(long ms) {
        checkArgument(ms >= 0, "slow by %s ms", ms);
        slowMs = ms;
    }

    /**
     * Loses the answers to the next {@code count} transactions that write.
     *
     * <p>With a {@code table} only those count that write a row of it: other tables are written on
     * timers of their own, whose transactions would use up the fault before the one meant.
     */
    void setAnswersToLose(int count, Optional<String> table) {
        checkArgument(count >= 0, "%s answers to lose", count);
        losingTable = table;
        answersToLose.set(count);
    }

    /** Tells whether the answer to the transaction just applied is lost, and counts it if so. */
    boolean takeLostAnswer(Transaction applied) {
        if (!losingTable.map(applied::writesTo).orElse(true)) {
            return false;
        }
        return answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    @Override
    public boolean closes(String path) {
        return !isControl(path) && clock.nowMs() < outageUntilMs;
    }

    @Override
    public long lateMs(String path) {
        return isControl(path) ? 0 : slowMs;
    }

    private static boolean isControl(String path) {
        return path.equals(CONTROL_PATH) || path.startsWith(CONTROL_PATH + "/");
    }
}
