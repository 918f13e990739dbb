package tallyweir.ids;

/** A timer set by {@link tallyweir.Choice}. */
public record TimerId(long value) {}
