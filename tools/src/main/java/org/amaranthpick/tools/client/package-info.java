/** HTTP client of the commands. */
package org.amaranthpick.tools.client;
