package tallyweir;

/** What is advertised to callers about the load: nothing, or a threshold below which they should send nothing. */
public enum LoadAdvice {
    OFF,
    THRESHOLD
}
