/**
 * The deployment document: what operators declare and what every router of the deployment obeys.
 */
package org.masticweir.config;
