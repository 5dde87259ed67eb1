/** Membership of daemons: who is alive, who is leaving. */
package org.amaranthpick.core.member;
