/** Commands of the amaranthpick program. */
package org.amaranthpick.tools;
