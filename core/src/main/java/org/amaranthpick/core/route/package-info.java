/** Choice of chains and service instances: flow plans, cost prediction, repair and baselines. */
package org.amaranthpick.core.route;
