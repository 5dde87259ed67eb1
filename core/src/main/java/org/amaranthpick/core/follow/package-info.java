/**
 * Following the store through other daemons: in a failure domain with many daemons a few watch the
 * store, and the others follow these. The design is in {@code docs/design/following.md}.
 */
package org.amaranthpick.core.follow;
