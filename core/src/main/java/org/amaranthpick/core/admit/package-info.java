/** Admission of requests: limits, fairness, priorities, deadlines and bounded queues. */
package org.amaranthpick.core.admit;
