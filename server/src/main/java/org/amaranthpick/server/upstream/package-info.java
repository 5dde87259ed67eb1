/** The HTTP dialect towards engines and plain services. */
package org.amaranthpick.server.upstream;
