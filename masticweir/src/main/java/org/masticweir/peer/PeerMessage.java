package org.masticweir.peer;

/** A message between two routers; implementations are immutable records. */
public interface PeerMessage {}
