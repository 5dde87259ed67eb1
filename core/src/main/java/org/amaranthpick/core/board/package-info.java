/** Blackboard that controllers read and write, sharded under locks. */
package org.amaranthpick.core.board;
