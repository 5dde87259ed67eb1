/** Choice of chains: model graph, max-flow bound, predicted cost. */
package org.amaranthpick.core.route;
