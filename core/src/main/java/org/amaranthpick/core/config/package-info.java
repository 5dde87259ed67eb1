/** Accepted configuration: publishing, spreading and reading it. */
package org.amaranthpick.core.config;
