/** Log output with a bounded queue that never blocks the threads that log. */
package org.amaranthpick.server.log;
