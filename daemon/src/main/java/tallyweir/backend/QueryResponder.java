package tallyweir.backend;

/** Sends the answer to the caller of one query. Exactly one of its methods is called, once. */
interface QueryResponder {
    void handled(byte[] result);

    /**
     * Answers that the query did not run and may be retried.
     *
     * @param retryAfter how long the caller should wait, tenths of a millisecond
     * @param nowhereElse whether the caller should not try another server either
     */
    void deferred(long retryAfter, boolean nowhereElse);

    void errored();

    /** Answers that the idempotency key belongs to a query with another body. */
    void bodyMismatch();
}
