/** Observation of upstreams: load, cache events and their age. */
package org.amaranthpick.core.observe;
