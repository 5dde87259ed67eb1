package org.amaranthpick.core.gateway;

/**
 * One kind of accelerator card.
 *
 * @param memoryMb memory for layers and requests, in MB
 * @param stepFactor time of a token step against the model's base time
 * @param readFactor time of reading a prompt against the model's base time
 */
public record CardKind(double memoryMb, double stepFactor, double readFactor) {}
