/** Upstreams as the platform's register names them, and what own traffic tells of their health. */
package org.amaranthpick.core.register;
