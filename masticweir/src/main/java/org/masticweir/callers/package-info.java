/** The HTTP interface of callers: submit a request, read its answer, cancel it. */
package org.masticweir.callers;
