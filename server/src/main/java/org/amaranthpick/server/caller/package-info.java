/** HTTP listener of callers: chat completions, completions, model list and plain services. */
package org.amaranthpick.server.caller;
