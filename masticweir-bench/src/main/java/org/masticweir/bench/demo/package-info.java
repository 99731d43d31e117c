/** The main job: a long report whose engine is killed under it, checked token by token. */
package org.masticweir.bench.demo;
