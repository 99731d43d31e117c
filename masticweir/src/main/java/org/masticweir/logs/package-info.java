/**
 * How log lines look and where they go.
 *
 * <p>Every message of the project begins with a fixed prefix for its part, as in {@code routing:
 * engine e17 ejected}. The text layout prints messages as they are; the JSON layout repeats the
 * prefix as the field {@code part}, so that lines can be searched by it.
 */
package org.masticweir.logs;
