/**
 * Which requests end the servers that run them: the evidence of all routers, and what follows from
 * it. {@link org.masticweir.quarantine.Quarantine} decides and has no I/O.
 */
package org.masticweir.quarantine;
