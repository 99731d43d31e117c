/** Rate limits that all routers share, and the permits for their uses. */
package org.masticweir.permits;
