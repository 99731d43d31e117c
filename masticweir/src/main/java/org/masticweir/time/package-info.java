/** The one clock type of the project, in milliseconds. */
package org.masticweir.time;
