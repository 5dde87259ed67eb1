/** Links between daemons: authenticated TCP connections with length-framed MessagePack. */
package org.amaranthpick.server.peer;
