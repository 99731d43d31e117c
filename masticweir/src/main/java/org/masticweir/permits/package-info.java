/** Rates that all routers share: what servers limit, and one permit for each use of it. */
package org.masticweir.permits;
