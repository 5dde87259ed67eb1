/** The demo: daemons, engines, a service and a store in one process. */
package org.amaranthpick.tools.demo;
