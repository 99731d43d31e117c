package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.settings.DaemonSettings;

/**
 * Settings of the limits, from the daemon's settings; each boolean setting enables or disables one
 * mechanism, for comparisons.
 *
 * <p>Immutable.
 */
public record LimitSettings(DaemonSettings.Limits settings) {
    private static final double PERCENT = 100;

    public LimitSettings {
        checkNotNull(settings, "settings");
    }

    /** Returns the settings of a daemon whose settings file omits them. */
    public static LimitSettings defaults() {
        return of(DaemonSettings.Limits.defaults());
    }

    /** Returns the limits in {@code settings}. */
    public static LimitSettings of(DaemonSettings.Limits settings) {
        return new LimitSettings(settings);
    }

    /**
     * Returns whether classes get equal shares of slot time; if not, requests are served in order
     * of arrival.
     */
    boolean hasClassShares() {
        return settings.classShares();
    }

    /** Returns whether queued requests that would be late are refused. */
    boolean hasQueueDeadlines() {
        return settings.queueDeadlines();
    }

    /** Returns whether the teams of a class are served by weight and each has a queue limit. */
    boolean hasFairShares() {
        return settings.fairShares();
    }

    /** Returns whether a request that is predicted to be late is refused on arrival. */
    boolean hasPredictedRefusal() {
        return settings.predictedRefusal();
    }

    /** Returns whether the number of recoveries that start at a time is limited. */
    boolean hasRecoveryAdmission() {
        return settings.recoveryAdmission();
    }

    /** Returns the maximum number of queued requests. */
    int maxQueuedRequests() {
        return settings.maxQueued();
    }

    /** Returns the fraction of the slots that is reserved for latency-sensitive classes. */
    double headroomFraction() {
        return hasClassShares() ? settings.headroomPercent() / PERCENT : 0;
    }

    /**
     * Returns the fraction of the slots that teams above their fair share leave free for other
     * teams.
     */
    double teamHeadroomFraction() {
        return hasFairShares() ? settings.headroomPercent() / PERCENT : 0;
    }

    /**
     * Returns the number of requests of latency-sensitive classes that may be sent beyond all
     * slots, as a fraction of the slots.
     */
    double overcommitFraction() {
        return hasClassShares() ? settings.overcommitPercent() / PERCENT : 0;
    }

    /** Returns the multiple of an even share of the free slots that one router may fill. */
    double burstFactor() {
        return settings.burstPercent() / PERCENT;
    }

    /** Returns the fraction of the router's slots on which recoveries may start at a time. */
    double recoveryFraction() {
        return settings.recoverySharePercent() / PERCENT;
    }
}
