/** Decisions of the router: deterministic code without threads, sockets or clocks of its own. */
package org.amaranthpick.core;
