/** Benchmarks and measuring runs. */
package org.amaranthpick.bench;
