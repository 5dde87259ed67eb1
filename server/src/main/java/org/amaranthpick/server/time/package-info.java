/** System clock and timers behind the interface of core. */
package org.amaranthpick.server.time;
