/** Placement of model layers on engines, and selection of engine chains for requests. */
package org.amaranthpick.core.layers;
