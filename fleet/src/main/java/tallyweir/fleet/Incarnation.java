package tallyweir.fleet;

/** One membership of a server in the fleet, from joining until it leaves or is shut out. Each number is issued once. */
public record Incarnation(long value) {}
