package org.masticweir.replay;

import java.util.function.Supplier;

/** The decisions that traces are replayed through, each with the plain policy it is weighed by. */
enum Policy {
    ANSWER("releasing every frame", AnswerReplay::new, PlainAnswerReplay::new),
    CLAIM("sending before claiming", () -> new ClaimReplay(false), () -> new ClaimReplay(true)),
    ENGINES(
            "believing the instance list alone",
            () -> new EnginesReplay(false),
            () -> new EnginesReplay(true)),
    CONFIGURATION(
            "applying any revision", () -> new ConfigReplay(false), () -> new ConfigReplay(true)),
    KEYS("running what each domain grants", () -> new KeyReplay(false), () -> new KeyReplay(true)),
    ISOLATED_CLAIMS(
            "sending without the table",
            () -> new IsolatedClaims(false),
            () -> new IsolatedClaims(true)),
    ISOLATED_COPIES(
            "owning a request for ever",
            () -> new IsolatedCopies(true),
            () -> new IsolatedCopies(false)),
    ORDERS(
            "trusting whoever held the lease",
            () -> new OrdersReplay(false),
            () -> new OrdersReplay(true));

    private final String plainName;
    private final Supplier<Replay> product;
    private final Supplier<Replay> plain;

    Policy(String plainName, Supplier<Replay> product, Supplier<Replay> plain) {
        this.plainName = plainName;
        this.product = product;
        this.plain = plain;
    }

    static Policy ofPlainName(String name) {
        for (Policy p : values()) {
            if (p.plainName.equals(name)) {
                return p;
            }
        }
        throw new IllegalArgumentException("no plain policy " + name);
    }

    Replay product() {
        return product.get();
    }

    Replay plain() {
        return plain.get();
    }
}
