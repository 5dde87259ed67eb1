/** Clock and timers, passed in; a virtual implementation for tests and measuring runs. */
package org.amaranthpick.core.time;
