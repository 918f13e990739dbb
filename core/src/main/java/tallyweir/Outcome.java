package tallyweir;

/** How a run or a call to the store ended. */
public enum Outcome {
    COMPLETED,
    ERRORED,
    /** The store was busy and did not carry out the call. */
    SATURATED,
    /** The call timed out; whether the store carried it out is unknown. */
    OVERDUE,
    /** The call was not sent or was rejected before it had any effect. */
    REFUSED_CONN,
    /** The connection broke during the call; whether the store carried it out is unknown. */
    SEVERED,
    /** The run was cancelled or suspended before it completed. */
    RECALLED,
    /** The run ended for a reason that says nothing about its duration, so it is left out of the measurements. */
    SUPERSEDED
}
