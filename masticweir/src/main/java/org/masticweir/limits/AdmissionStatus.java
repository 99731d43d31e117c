package org.masticweir.limits;

/** The numbers of queued and of running requests on this router; immutable. */
public record AdmissionStatus(int queued, int running) {}
