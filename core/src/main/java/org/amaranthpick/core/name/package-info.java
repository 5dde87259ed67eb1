/** Identities of resources (fleet, kind and name) and the resolution of references to them. */
package org.amaranthpick.core.name;
