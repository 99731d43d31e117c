/**
 * The HTTP interface of operators: see what a router does, change the configuration, drain it.
 *
 * <p>{@link org.masticweir.operators.OperatorHandler} asks an {@link
 * org.masticweir.operators.OperatorQueries} and an {@link
 * org.masticweir.operators.OperatorCommands}; the answers are records that become JSON as they are,
 * with names in snake case and constants in lower case. It has a port apart from callers'.
 */
package org.masticweir.operators;
