/** A model engine's stand-in: continuous batching, prefix cache, streams, orders and faults. */
package org.masticweir.standins.engine;
