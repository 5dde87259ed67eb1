/** Decision trail of recent requests and decision log lines. */
package org.amaranthpick.core.explain;
