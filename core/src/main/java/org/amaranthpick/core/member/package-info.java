/** Gossip membership: which daemons are alive, suspect, leaving or dead. */
package org.amaranthpick.core.member;
