package tallyweir.results;

/** The recorded outcome of a run. Its ordinal is stored. */
public enum Known {
    /** It succeeded, and there is a result. */
    GOOD,
    /** It failed; its effects are not undone. There is no result, and it never runs again. */
    BAD,
    /**
     * It may have started, and it can't be determined whether or how it ended. There is no result, and it never runs
     * again.
     */
    UNKNOWN
}
