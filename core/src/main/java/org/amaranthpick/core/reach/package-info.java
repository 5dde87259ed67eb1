/** Paths of this daemon to the upstreams: direct ones, and those through other daemons. */
package org.amaranthpick.core.reach;
