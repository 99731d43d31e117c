package org.masticweir.limits;

/** How much new work waits and runs on this router; immutable. */
public record AdmissionStatus(int queued, int running) {}
