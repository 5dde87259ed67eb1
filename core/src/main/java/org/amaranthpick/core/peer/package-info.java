/** Typed messages between daemons and their MessagePack codec. */
package org.amaranthpick.core.peer;
