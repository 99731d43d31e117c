/**
 * The masticweir library: decisions and adapters that serve long generations on engines that fail.
 *
 * <p>Each sub-package holds one concept. Decision packages are free of I/O, threads and clocks.
 */
package org.masticweir;
