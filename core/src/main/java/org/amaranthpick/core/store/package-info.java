/** The platform's object API as the router sees it, with an in-memory implementation. */
package org.amaranthpick.core.store;
