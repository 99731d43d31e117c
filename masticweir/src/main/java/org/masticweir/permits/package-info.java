/** Rate limits that all routers share, and permits for single uses of these rates. */
package org.masticweir.permits;
