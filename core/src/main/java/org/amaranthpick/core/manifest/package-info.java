/** Typed manifest: the single statement of intent, its parsing and its checks. */
package org.amaranthpick.core.manifest;
