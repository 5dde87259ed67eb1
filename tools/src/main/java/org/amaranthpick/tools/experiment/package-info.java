/** Plays load patterns against the decisions of a gateway on an emulated fleet. */
package org.amaranthpick.tools.experiment;
