/**
 * Clock and timers as an injected dependency, with an implementation on virtual time for tests and
 * benchmarks.
 */
package org.amaranthpick.core.time;
