package tallyweir.ids;

/** A timer that the decisions asked for. */
public record TimerId(long value) {}
