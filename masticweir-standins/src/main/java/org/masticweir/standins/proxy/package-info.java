/** A TCP proxy that injects faults into the connections of many routes. */
package org.masticweir.standins.proxy;
