package tallyweir.backend;

/** The way back to whoever sent a query; a front gives one with each query, and exactly one is used. */
interface Answer {
    void handled(byte[] result);

    void deferred(long keepOff, boolean nowhereElse);

    void errored();

    /** The stamp belongs to a query with another body. */
    void otherBody();
}
