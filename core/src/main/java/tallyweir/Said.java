package tallyweir;

/** What callers may be told of the load here: a level, under which they send nothing, or nothing. */
public enum Said {
    OFF,
    THRESHOLD
}
