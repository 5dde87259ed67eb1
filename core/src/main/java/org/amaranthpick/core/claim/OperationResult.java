package org.amaranthpick.core.claim;

/**
 * Result of an operation as far as this daemon knows it.
 *
 * @param reply last reply to the operation
 * @param mayStillBeStored true if the operation may be stored later although the reply does not say
 *     so
 */
record OperationResult(ShardReply reply, boolean mayStillBeStored) {
    static OperationResult performedLocally(ShardReply reply) {
        return new OperationResult(reply, reply.kind() == ShardReply.Kind.UNAVAILABLE);
    }

    static OperationResult performedByOwner(ShardReply reply) {
        return new OperationResult(reply, reply.isFailure());
    }

    /**
     * Returns the result of an operation that this daemon performed because the shard's owner did
     * not confirm it. The owner may still perform it too, unless the reply shows that it would have
     * no further effect.
     *
     * @param reply reply to the operation performed by this daemon
     * @return result
     */
    static OperationResult performedInsteadOfOwner(ShardReply reply) {
        boolean repeatHasNoEffect =
                reply.kind() == ShardReply.Kind.GRANTED
                        || reply.kind() == ShardReply.Kind.SETTLED
                        || reply.kind() == ShardReply.Kind.COMPLETED;
        return new OperationResult(reply, !repeatHasNoEffect);
    }

    static OperationResult unanswered(String reason) {
        return new OperationResult(ShardReply.unavailable(reason), true);
    }
}
