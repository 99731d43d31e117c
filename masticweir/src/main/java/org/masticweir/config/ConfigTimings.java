package org.masticweir.config;

import static com.google.common.base.Preconditions.checkArgument;

import org.masticweir.settings.DaemonSettings;

/**
 * The waits of a change; defaults and ranges are those of the settings' section {@code [config]}.
 *
 * @param retryMs time before a failed read or write is tried again
 * @param settleWaitMs longest time until it is known whether the change is written
 * @param domainWaitMs longest time after that until every domain holds it
 */
public record ConfigTimings(long retryMs, long settleWaitMs, long domainWaitMs) {
    public ConfigTimings {
        checkArgument(retryMs > 0, "retry after %s ms", retryMs);
        checkArgument(settleWaitMs > 0, "settle wait %s ms", settleWaitMs);
        checkArgument(domainWaitMs > 0, "domain wait %s ms", domainWaitMs);
    }

    /** Returns the waits that a daemon's settings give. */
    public static ConfigTimings of(DaemonSettings.Config settings) {
        return new ConfigTimings(
                settings.retryMs(), settings.settleWaitMs(), settings.domainWaitMs());
    }
}
