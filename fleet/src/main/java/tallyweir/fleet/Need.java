package tallyweir.fleet;

/**
 * What a server says of a tenant's connections beyond its floor.
 *
 * @param keep so many of what it was granted it goes on relying on; the rest it has given back
 * @param want so many it would use
 */
public record Need(int keep, int want) {}
