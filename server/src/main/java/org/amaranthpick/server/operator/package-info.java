/** HTTP listener of operators: health, metrics, status, explain and drain. */
package org.amaranthpick.server.operator;
