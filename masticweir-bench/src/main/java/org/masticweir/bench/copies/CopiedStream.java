package org.masticweir.bench.copies;

import com.google.common.primitives.ImmutableIntArray;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.HdrHistogram.Histogram;
import org.masticweir.config.Reliability;
import org.masticweir.generation.AnswerLog;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.GenerationId;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.recovery.copy.CopyAction;
import org.masticweir.recovery.copy.CopyEpoch;
import org.masticweir.recovery.copy.CopyEvent;
import org.masticweir.recovery.copy.CopyPlan;
import org.masticweir.recovery.copy.CopySender;
import org.masticweir.recovery.copy.GenerationCopy;
import org.masticweir.recovery.copy.HolderRanking;
import org.masticweir.recovery.copy.RequestThread;
import org.masticweir.recovery.copy.SenderDriver;
import org.masticweir.time.Clock;

/** One generation whose tokens are copied before they are released; owned by its thread. */
final class CopiedStream {
    private static final TeamId TEAM = TeamId.of("bench");
    private static final int MAX_TOKENS = 100_000;
    private static final int TOKEN = 1_000_000;
    private static final long NS_PER_US = 1000;

    private final AnswerLog log = new AnswerLog();
    private final Queue<Long> acceptedAtNs = new ArrayDeque<>();
    private final Histogram releaseUs;
    private final SenderDriver driver;
    private int released;

    CopiedStream(
            CopyNode owner,
            int number,
            HolderRanking ranking,
            RequestThread thread,
            Clock clock,
            Histogram releaseUs) {
        this.releaseUs = releaseUs;
        CopySender sender =
                CopySender.opening(
                        CopyPlan.defaults(Reliability.TOKENS),
                        fresh(owner, RequestId.forKey(TEAM, "stream-" + number)),
                        log::accepted,
                        ranking,
                        clock.nowMs());
        driver = SenderDriver.of(sender, owner.copies(), thread, clock, this::carryOut);
    }

    void start() {
        driver.start();
    }

    /** Takes the next token, as from an engine. */
    void token() {
        int next = log.size();
        acceptedAtNs.add(System.nanoTime());
        log.append(next, ImmutableIntArray.of(TOKEN + next));
        driver.on(new CopyEvent.Accepted(next + 1));
    }

    void close() {
        driver.close();
    }

    private void carryOut(CopyAction action) {
        if (action instanceof CopyAction.ReleaseTo release) {
            long now = System.nanoTime();
            while (released < release.index()) {
                releaseUs.recordValue((now - acceptedAtNs.remove()) / NS_PER_US);
                released++;
            }
            log.releaseTo(released);
        }
    }

    private static GenerationCopy fresh(CopyNode owner, RequestId request) {
        RequestSpec spec =
                new RequestSpec(
                        request,
                        TEAM,
                        WorkClassId.of("reports"),
                        ModelId.of("report"),
                        true,
                        ImmutableIntArray.of(1),
                        "",
                        MAX_TOKENS,
                        false);
        GenerationSpec generation =
                new GenerationSpec(GenerationId.of(request, Integer.MAX_VALUE / 2), "1", "", 1);
        return new GenerationCopy(
                CopyEpoch.first(owner.id()),
                spec,
                generation,
                Optional.empty(),
                ImmutableIntArray.of(),
                Optional.empty(),
                0);
    }
}
