/** Client interface of the platform's object store, with an in-memory implementation. */
package org.amaranthpick.core.store;
