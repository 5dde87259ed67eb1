/** Detection of prompts that crash engines, and their quarantine on all daemons. */
package org.amaranthpick.core.quarantine;
