package tallyweir.fleet;

/**
 * The connections of a tenant that a server is lent beyond its floor.
 *
 * @param granted maximum number that it may accept while its lease lasts
 * @param target number that it should reduce to, as soon as no open query prevents that
 */
public record Grant(int granted, int target) {}
