package org.masticweir.settings;

import com.google.common.collect.ImmutableList;

/**
 * All of a daemon's settings: name with unit, range, default and a sentence on each.
 *
 * <p>A new setting is one row in one of the tables and one component in {@link DaemonSettings}.
 */
final class DaemonSetting {
    private DaemonSetting() {}

    /** Returns every row in the order of the reference. */
    static ImmutableList<Setting<?>> rows() {
        return ImmutableList.<Setting<?>>builder()
                .addAll(ProcessSetting.rows())
                .addAll(ServingSetting.rows())
                .addAll(ControlSetting.rows())
                .build();
    }
}
