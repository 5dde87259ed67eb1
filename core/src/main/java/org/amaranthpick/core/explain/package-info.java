/** Log of decisions, and the decision trail of recent requests and resources. */
package org.amaranthpick.core.explain;
