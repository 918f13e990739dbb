package tallyweir.fleet;

/**
 * A server's demand for a tenant's connections beyond its floor.
 *
 * @param kept how many of its granted connections it continues to rely on; it has returned the rest
 * @param wanted how many it would use
 */
public record Need(int kept, int wanted) {}
