package tallyweir.fleet;

/** One life of a server in the fleet; a number is given once. */
public record Incarnation(long value) {}
