/**
 * Paths from this router to the backend servers: directly, or through a tunnel that another router
 * carries while the direct path is broken.
 */
package org.masticweir.path;
