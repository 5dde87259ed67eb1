/** Small stand-ins for the platform store, model engines and plain services. */
package org.amaranthpick.standins;
