package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One difference between two deployments.
 *
 * @param before the value before; empty when the key was not there
 * @param after the value after; empty when the key is gone
 */
public record DeploymentChange(Kind kind, String section, String key, String before, String after) {
    public DeploymentChange {
        checkNotNull(kind, "kind");
        checkNotNull(section, "section");
        checkNotNull(key, "key");
        checkNotNull(before, "before");
        checkNotNull(after, "after");
    }

    /** Returns the change as one line for people. */
    public String line() {
        return kind.line("[" + section + "] " + key, before, after);
    }

    /** The ways in which a key may differ. */
    public enum Kind {
        ADDED {
            @Override
            String line(String place, String before, String after) {
                return "+ " + place + " = " + after;
            }
        },
        REMOVED {
            @Override
            String line(String place, String before, String after) {
                return "- " + place + " = " + before;
            }
        },
        CHANGED {
            @Override
            String line(String place, String before, String after) {
                return "~ " + place + " = " + before + " -> " + after;
            }
        };

        abstract String line(String place, String before, String after);
    }
}
