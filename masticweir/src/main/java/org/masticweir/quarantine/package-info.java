/**
 * Which requests end the servers that run them: the evidence of all routers, and what follows from
 * it. No I/O.
 */
package org.masticweir.quarantine;
