/** Which engine holds which layers, and the chain of engines that a request passes through. */
package org.amaranthpick.core.layers;
