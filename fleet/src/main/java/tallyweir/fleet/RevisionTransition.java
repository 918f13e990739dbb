package tallyweir.fleet;

/**
 * A server's change from one applied revision to another.
 *
 * @param delay how long after the new revision came into force, in tenths of a millisecond by the fleet's clock
 * @param outdatedQueries queries that the server began under the earlier revision after that
 * @param recordedAtMs when it was recorded, ms since 1970 by the leader's wall clock; for display only
 */
public record RevisionTransition(
        Incarnation incarnation, RevisionId from, RevisionId to, long delay, long outdatedQueries, long recordedAtMs) {}
