/**
 * The operators' command line, {@code masticweir}: a thin client of a router's operator address.
 *
 * <p>Each command is a class that JCommander fills; {@link org.masticweir.cli.ExitCode} documents
 * how a command ends.
 */
package org.masticweir.cli;
