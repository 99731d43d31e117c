/** What back ends look like to a router: addresses, states, vendors' interfaces, streams. */
package org.masticweir.engine;
