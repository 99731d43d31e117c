package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;

import org.masticweir.settings.DaemonSettings;

/**
 * The daemon settings that limits follow; each switch turns one mechanism off for a trial.
 *
 * @param classShares whether classes are served by equal shares of place time; if not, requests are
 *     served as they came
 * @param queueDeadlines whether what would be late is refused from the queue
 * @param fairShares whether teams of a class are served by weight, and bounded one by one
 * @param predictedRefusal whether an arrival predicted to be late is refused at once
 * @param recoveryAdmission whether only so many recoveries start at a time
 * @param headroomPercent part of the places that only prompt classes may fill, and part that teams
 *     over their share may not
 * @param overcommitPercent how much prompt classes may send beyond all places
 * @param burstPercent how much of its even part of the free places a router may fill
 * @param recoverySharePercent part of the router's places that starting recoveries may hold
 * @param maxQueued requests that may wait
 */
public record LimitTuning(
        boolean classShares,
        boolean queueDeadlines,
        boolean fairShares,
        boolean predictedRefusal,
        boolean recoveryAdmission,
        int headroomPercent,
        int overcommitPercent,
        int burstPercent,
        int recoverySharePercent,
        int maxQueued) {
    private static final int DEFAULT_HEADROOM_PERCENT = 10;
    private static final int DEFAULT_OVERCOMMIT_PERCENT = 10;
    private static final int DEFAULT_BURST_PERCENT = 400;
    private static final int DEFAULT_RECOVERY_SHARE_PERCENT = 25;
    private static final int DEFAULT_MAX_QUEUED = 2_048;
    private static final double PERCENT = 100;

    public LimitTuning {
        checkArgument(headroomPercent >= 0, "headroom of %s%%", headroomPercent);
        checkArgument(overcommitPercent >= 0, "overcommit of %s%%", overcommitPercent);
        checkArgument(burstPercent >= 1, "burst of %s%%", burstPercent);
        checkArgument(recoverySharePercent >= 1, "recovery share of %s%%", recoverySharePercent);
        checkArgument(maxQueued >= 1, "at most %s queued", maxQueued);
    }

    /** Returns the tuning of a daemon whose settings leave it out. */
    public static LimitTuning defaults() {
        return new LimitTuning(
                true,
                true,
                true,
                true,
                true,
                DEFAULT_HEADROOM_PERCENT,
                DEFAULT_OVERCOMMIT_PERCENT,
                DEFAULT_BURST_PERCENT,
                DEFAULT_RECOVERY_SHARE_PERCENT,
                DEFAULT_MAX_QUEUED);
    }

    /** Returns the tuning that {@code settings} give. */
    public static LimitTuning of(DaemonSettings.Limits settings) {
        return new LimitTuning(
                settings.classShares(),
                settings.queueDeadlines(),
                settings.fairShares(),
                settings.predictedRefusal(),
                settings.recoveryAdmission(),
                settings.headroomPercent(),
                settings.overcommitPercent(),
                settings.burstPercent(),
                settings.recoverySharePercent(),
                settings.maxQueued());
    }

    /** Returns the share of the places that only prompt classes may fill. */
    double headroom() {
        return classShares ? headroomPercent / PERCENT : 0;
    }

    /** Returns the share of the places that teams over their share leave to others. */
    double teamHeadroom() {
        return fairShares ? headroomPercent / PERCENT : 0;
    }

    /** Returns what prompt classes may send beyond all places, as a share of them. */
    double overcommit() {
        return classShares ? overcommitPercent / PERCENT : 0;
    }

    /** Returns how many times its even part of the free places a router may fill. */
    double burst() {
        return burstPercent / PERCENT;
    }

    /** Returns the share of the router's places on which recoveries may start at a time. */
    double recoveryShare() {
        return recoverySharePercent / PERCENT;
    }
}
