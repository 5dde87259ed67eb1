/** The daemon: listeners, store client, peer links and metrics. */
package org.amaranthpick.server;
