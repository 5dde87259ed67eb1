/** The HTTP dialect of the platform's object API, and the call budget of this daemon. */
package org.amaranthpick.server.store;
