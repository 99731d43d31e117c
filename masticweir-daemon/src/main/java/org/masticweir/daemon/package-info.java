/** The thin daemon around the library: reads settings, wires adapters, starts and stops. */
package org.masticweir.daemon;
