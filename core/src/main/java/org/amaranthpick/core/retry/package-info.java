/** Retry budget with backoff, outlier ejection and slow start of upstreams. */
package org.amaranthpick.core.retry;
