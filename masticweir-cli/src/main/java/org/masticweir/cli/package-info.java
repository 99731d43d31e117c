/** The operators' command line. */
package org.masticweir.cli;
