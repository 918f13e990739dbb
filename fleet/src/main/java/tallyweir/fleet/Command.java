package tallyweir.fleet;

import java.util.List;
import java.util.Map;
import tallyweir.fleet.table.Change;
import tallyweir.ids.TenantId;

/** What the replicated log holds: each is applied to the {@link State} of every voter and has one {@link Answer}. */
public sealed interface Command {
    /** The clock alone. */
    record Tick() implements Command {}

    /** Founds the fleet, or gives it newer settings. */
    record Found(String fleet, FleetSettings settings) implements Command {}

    /**
     * A server wants a place.
     *
     * @param life of its process, higher for each later one
     */
    record Join(String fleet, ServerId server, String listen, long life) implements Command {}

    /**
     * A server says what is in force there. Only what names the incarnation it has here counts.
     *
     * @param number counted up by the server; the same one again changes nothing
     * @param inForce the digest of the table in use there, worked out from its entries
     * @param outdated queries begun under the revision before after this one came into force, as far as it knows
     * @param checked the revision that it has looked at last, NONE for none
     * @param cannot why it cannot take that, empty if it can
     * @param ended queries that have ended since its process began
     * @param bad of them, late or errored
     */
    record Report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            long ended,
            long bad,
            Map<TenantId, Need> needs)
            implements Command {}

    /** A server has answered all that it had and ends. */
    record Leave(ServerId server, Incarnation as) implements Command {}

    /**
     * An operator wants a whole revision, as its difference to the one expected.
     *
     * @param expected the last revision, in force or proposed, that the operator saw; another one there turns it down
     */
    record Publish(
            OperatorCommand command, RevisionId expected, List<Change> changes, String by, String why, boolean force)
            implements Command {}

    /** An operator wants some entries changed, each on the condition that it says what the change has as before. */
    record ChangeEntries(OperatorCommand command, List<Change> changes, String by, String why, boolean force)
            implements Command {}

    /** An operator wants an earlier revision back: a new one that says the same. */
    record Rollback(OperatorCommand command, RevisionId expected, RevisionId to, String by, String why, boolean force)
            implements Command {}
}
