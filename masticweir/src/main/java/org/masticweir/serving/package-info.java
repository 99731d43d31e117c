/**
 * Serves accepted requests: drives each one's decisions on its I/O thread and keeps its answer.
 *
 * <p>Traffic threads read an immutable {@link org.masticweir.serving.ServingView}, which the
 * control thread replaces.
 */
package org.masticweir.serving;
