package org.masticweir.id;

/** Names a team, the unit of credentials, shares and limits. */
public record TeamId(String value) {
    public TeamId {
        Ids.checkToken("team id", value);
    }

    public static TeamId of(String value) {
        return new TeamId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
