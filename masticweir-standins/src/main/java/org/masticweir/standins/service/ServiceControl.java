package org.masticweir.standins.service;

/** The faults one control call asks for; a field left out is null and changes nothing. */
record ServiceControl(Long pauseMs, Long refuseMs, Integer loseAnswers) {}
