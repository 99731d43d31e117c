/**
 * The platform's stand-in: tables, objects, the instance list and the weight store, with faults.
 */
package org.masticweir.standins.platform;
