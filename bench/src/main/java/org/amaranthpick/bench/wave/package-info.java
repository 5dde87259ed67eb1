/** Wave of batch work over small engine fakes on virtual time. */
package org.amaranthpick.bench.wave;
