/** Retry budget, backoff, outlier ejection, slow start. */
package org.amaranthpick.core.retry;
