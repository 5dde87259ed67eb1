/** Observation of upstreams: polling of status, digests between daemons, and cache events. */
package org.amaranthpick.core.observe;
