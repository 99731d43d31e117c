/** Control and records of stand-ins, as the bench uses them. */
package org.masticweir.bench.standin;
