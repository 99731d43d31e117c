/** Wires decisions and adapters into one router, and runs its control thread. */
package org.masticweir.router;
