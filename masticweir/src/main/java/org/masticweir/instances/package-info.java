/**
 * How the routers of a domain share the reads of the platform's instance list; decisions without
 * I/O.
 *
 * <p>They read in turns and tell each other what changed. The adapter is {@code
 * router.InstanceSharing}.
 */
package org.masticweir.instances;
