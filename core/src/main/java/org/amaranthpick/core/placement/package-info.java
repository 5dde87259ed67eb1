/**
 * Placement of model versions, layers and adapters on engines: leases, fencing, planning and
 * orders.
 */
package org.amaranthpick.core.placement;
