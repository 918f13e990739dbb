package tallyweir.fleet;

import java.util.Map;
import tallyweir.ids.TenantId;

/** What a server's own side of the fleet asks for. None of these calls back before it returns. */
public interface Acts {
    /** Asks the fleet for a place; joined, refused or failed comes back. */
    void join(ServerId server, String listen);

    /** Reports to the fleet; told, refused or failed comes back. */
    void report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            Map<TenantId, Need> needs);

    /** Finds out whether this server could act on a revision; checked comes back. */
    void check(RevisionId revision);

    /** Brings a revision into force here; acting comes back, or cannotAct. */
    void act(RevisionId revision);

    /** Whether this server is to turn new queries away and be announced no more. */
    void standBack(boolean back);
}
