package tallyweir.fleet;

/**
 * A server passed from one revision to another.
 *
 * @param behind how long after the other came into force, by the fleet's clock, tenths of a millisecond
 * @param outdated queries it began under the earlier one after that
 * @param wall when it was taken down, by the leader's wall clock, ms since 1970; for people
 */
public record RevisionTransition(
        Incarnation as, RevisionId from, RevisionId to, long behind, long outdated, long wall) {}
