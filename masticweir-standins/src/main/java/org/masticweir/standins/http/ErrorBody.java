package org.masticweir.standins.http;

/** The body of an answer to a request that cannot be understood or served. */
record ErrorBody(String code, String message) {}
