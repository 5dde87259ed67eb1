/** Publishes the configuration, distributes it to all daemons and keeps the one in force. */
package org.amaranthpick.core.config;
