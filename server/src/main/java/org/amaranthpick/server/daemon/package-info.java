/** The daemon: settings, wiring of controllers and listeners, start and shutdown. */
package org.amaranthpick.server.daemon;
