/** Admission: limits, fairness, priorities, deadlines, bounded queues. */
package org.amaranthpick.core.admit;
