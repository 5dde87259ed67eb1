/** Identities of resources: (fleet, kind, name), and how references resolve. */
package org.amaranthpick.core.name;
