/** Placement of layers, versions and adapters; leases, fencing and orders. */
package org.amaranthpick.core.placement;
