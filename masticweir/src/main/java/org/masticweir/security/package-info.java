/** Keys and credentials that come from files and are read again while the process runs. */
package org.masticweir.security;
