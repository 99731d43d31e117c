/** Small processes that take the platform's and the back ends' place in tests and the demo. */
package org.masticweir.standins;
