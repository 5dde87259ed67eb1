package org.amaranthpick.core.claim;

/**
 * What became of an operation as this daemon knows.
 *
 * @param reply last reply
 * @param mayStillBeStored true if a copy of the operation may be stored without this reply saying
 *     so
 */
record Performed(ShardReply reply, boolean mayStillBeStored) {
    static Performed here(ShardReply reply) {
        return new Performed(reply, reply.kind() == ShardReply.Kind.UNAVAILABLE);
    }

    static Performed atOwner(ShardReply reply) {
        return new Performed(reply, reply.isFailure());
    }

    /**
     * Makes the result of an operation performed here after its owner gave no answer: the owner may
     * still perform it, unless the key is settled for good.
     *
     * @param reply reply of this daemon
     * @return result
     */
    static Performed insteadOfOwner(ShardReply reply) {
        boolean settled =
                reply.kind() == ShardReply.Kind.GRANTED
                        || reply.kind() == ShardReply.Kind.SETTLED
                        || reply.kind() == ShardReply.Kind.KEPT;
        return new Performed(reply, !settled);
    }

    static Performed unanswered(String reason) {
        return new Performed(ShardReply.unavailable(reason), true);
    }
}
