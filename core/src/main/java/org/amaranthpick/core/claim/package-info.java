/** Claims of idempotency keys: at most once across hosts. */
package org.amaranthpick.core.claim;
