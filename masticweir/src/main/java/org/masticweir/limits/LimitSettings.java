package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.settings.DaemonSettings;

/**
 * What limits follow of the daemon's settings; each switch turns one mechanism off for a trial.
 *
 * <p>Immutable.
 */
public record LimitSettings(DaemonSettings.Limits settings) {
    private static final double PERCENT = 100;

    public LimitSettings {
        checkNotNull(settings, "settings");
    }

    /** Returns the tuning of a daemon whose settings leave it out. */
    public static LimitSettings defaults() {
        return of(DaemonSettings.Limits.defaults());
    }

    /** Returns the tuning that {@code settings} give. */
    public static LimitSettings of(DaemonSettings.Limits settings) {
        return new LimitSettings(settings);
    }

    /** Tells whether classes are served by equal shares of place time; if not, as they came. */
    boolean classShares() {
        return settings.classShares();
    }

    /** Tells whether what would be late is refused from the queue. */
    boolean queueDeadlines() {
        return settings.queueDeadlines();
    }

    /** Tells whether teams of a class are served by weight, and bounded one by one. */
    boolean fairShares() {
        return settings.fairShares();
    }

    /** Tells whether an arrival predicted to be late is refused at once. */
    boolean predictedRefusal() {
        return settings.predictedRefusal();
    }

    /** Tells whether only so many recoveries start at a time. */
    boolean recoveryAdmission() {
        return settings.recoveryAdmission();
    }

    /** Returns how many requests may wait. */
    int maxQueued() {
        return settings.maxQueued();
    }

    /** Returns the share of the places that only prompt classes may fill. */
    double headroomShare() {
        return classShares() ? settings.headroomPercent() / PERCENT : 0;
    }

    /** Returns the share of the places that teams over their share leave to others. */
    double teamHeadroomShare() {
        return fairShares() ? settings.headroomPercent() / PERCENT : 0;
    }

    /** Returns what prompt classes may send beyond all places, as a share of them. */
    double overcommitShare() {
        return classShares() ? settings.overcommitPercent() / PERCENT : 0;
    }

    /** Returns how many times its even part of the free places a router may fill. */
    double burstFactor() {
        return settings.burstPercent() / PERCENT;
    }

    /** Returns the share of the router's places on which recoveries may start at a time. */
    double recoveryShare() {
        return settings.recoverySharePercent() / PERCENT;
    }
}
