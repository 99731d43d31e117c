/**
 * A daemon's own settings, and the checked reading of INI text that the deployment document shares.
 *
 * <p>Every setting stands in one table, {@link org.masticweir.settings.DaemonSetting}, from which
 * the operators' reference is printed.
 */
package org.masticweir.settings;
