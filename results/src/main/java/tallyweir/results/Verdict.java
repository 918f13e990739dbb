package tallyweir.results;

/** What is done with a copy of a query that was read. */
public enum Verdict {
    /** Its key has no record: it may be admitted. */
    NEW,
    /** Its key has a record: it gets the outcome of that run, at once or when the run ends. */
    REPEAT,
    /** Its key was used with another body: it is refused with that reason, and nothing else changes. */
    OTHER_BODY,
    /** There is no room for another record: it is deferred. */
    NO_ROOM
}
