/** Upstreams in the platform's register, their health as seen in traffic, and the daemon count. */
package org.amaranthpick.core.register;
