/** Life of a request: admission, attempts, token sequence, outcome. */
package org.amaranthpick.core.request;
