package org.masticweir.standins.http;

/** The answer to the cheap probe. */
public record Health(boolean alive) {
    public static Health ok() {
        return new Health(true);
    }
}
