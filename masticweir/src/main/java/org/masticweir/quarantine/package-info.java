/**
 * Detects requests that crash the servers that run them, based on the losses that all routers
 * observed, and stops sending them. {@link org.masticweir.quarantine.Quarantine} makes the
 * decisions and does no I/O.
 */
package org.masticweir.quarantine;
