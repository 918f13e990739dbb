package tallyweir.results;

/** What is known of a run that is over. */
public enum Known {
    /** It ended well, and there is a result. */
    GOOD,
    /** It ended otherwise; what it did is not undone. No result, and never a further run. */
    BAD,
    /** It may have begun, and nobody can tell how it ended or whether. No result, and never a further run. */
    UNKNOWN
}
