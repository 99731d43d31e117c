/** A small HTTP server for stand-ins that can drop connections and answer late without blocking. */
package org.masticweir.standins.platform.http;
