/** Deterministic core of the router, without threads, sockets or a system clock. */
package org.amaranthpick.core;
