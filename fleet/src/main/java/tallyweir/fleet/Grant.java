package tallyweir.fleet;

/**
 * What a server is told of a tenant's connections beyond its floor.
 *
 * @param granted so many it may accept while its lease lasts
 * @param target to so many it should come down, as soon as no open query stands against it
 */
public record Grant(int granted, int target) {}
