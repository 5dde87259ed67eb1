/**
 * The manifest, which declares the desired configuration of all fleets: types, parsing and
 * validation.
 */
package org.amaranthpick.core.manifest;
