package tallyweir.results;

/** What becomes of a copy that was read. */
public enum Verdict {
    /** Nothing is known of its mark: it may be admitted. */
    NEW,
    /** Its mark is known: it gets what the run of the mark came, or comes, to. */
    REPEAT,
    /** The mark belongs to another body: it is refused openly, and nothing else changes. */
    OTHER_BODY,
    /** There is no room for another mark: it is deferred. */
    NO_ROOM
}
