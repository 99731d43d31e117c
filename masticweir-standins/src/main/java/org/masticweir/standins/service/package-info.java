/** A plain service's stand-in: calls that may not be repeated, recorded before the answer. */
package org.masticweir.standins.service;
