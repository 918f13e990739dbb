package tallyweir;

/** How a run or a call ended. */
public enum Outcome {
    COMPLETED,
    ERRORED,
    SATURATED,
    OVERDUE,
    REFUSED_CONN,
    SEVERED,
    RECALLED,
    SUPERSEDED
}
