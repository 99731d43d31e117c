package org.masticweir.catalog;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.id.FieldText;

/** Names a team as the operator wrote it, in any characters. */
public record TeamName(String value) {
    public TeamName {
        checkNotNull(value, "value");
    }

    public static TeamName of(String value) {
        return new TeamName(value);
    }

    /** Returns whether servers can be told this name. */
    public boolean fitsField() {
        return FieldText.fits(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
