/** Log output that is bounded and never blocks the threads that log. */
package org.amaranthpick.server.log;
