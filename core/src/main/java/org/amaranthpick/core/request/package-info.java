/** Processing of a request: admission, attempts, token sequence and outcome. */
package org.amaranthpick.core.request;
