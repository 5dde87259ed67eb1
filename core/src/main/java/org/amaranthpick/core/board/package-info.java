/** Blackboard that controllers read and write: sharded maps guarded by locks. */
package org.amaranthpick.core.board;
