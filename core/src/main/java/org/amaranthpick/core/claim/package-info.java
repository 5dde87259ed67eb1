/** Claims of idempotency keys, by which a request runs at most once across all hosts. */
package org.amaranthpick.core.claim;
