/** What engines can still take, as far as this daemon knows. */
package org.amaranthpick.core.room;
