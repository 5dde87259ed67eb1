/** Emulated engines on virtual time: passes, memory and loss, without sockets. */
package org.amaranthpick.standins.fleet;
