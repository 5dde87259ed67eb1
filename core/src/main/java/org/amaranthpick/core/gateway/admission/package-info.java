/**
 * Decides which requests of a model are sent, wait or are turned away while its chains are nearly
 * full, by what delay and refusal cost their callers.
 */
package org.amaranthpick.core.gateway.admission;
