package org.amaranthpick.soak;

import org.amaranthpick.platform.standin.ReceivedResponse;

/**
 * One request and its answer.
 *
 * @param id request id
 * @param kind kind of the request
 * @param answer what the caller got
 * @param calm whether only planned work went on from its sending to its end
 * @param around what else its promises depend on
 */
record CallRecord(
        String id,
        CallKind kind,
        ReceivedResponse answer,
        boolean calm,
        CallCircumstances around) {}
