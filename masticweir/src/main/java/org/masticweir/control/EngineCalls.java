package org.masticweir.control;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The calls of orders to engines; implementations are thread-safe and never block. */
interface EngineCalls {
    /** Asks what an engine holds; empty when no usable answer came. */
    CompletableFuture<Optional<EngineHoldings>> readBack(InetSocketAddress engine);

    /** Sends one order, once; the future never completes exceptionally. */
    CompletableFuture<SendOutcome> send(InetSocketAddress engine, Order order);
}
