package tallyweir;

/** What the machine can do with a query that is running: nothing, end it, or pause it and go on later. */
public enum Halt {
    OFF,
    ABORT,
    SUSPEND
}
