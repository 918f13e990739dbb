package tallyweir.fleet;

/** One revision of what the fleet routes by; its body is kept by digest. */
public final class Revision {
    /** What has become of it. */
    public enum Fate {
        PROPOSED,
        IN_FORCE,
        PAST,
        TURNED_DOWN
    }

    final RevisionId id;
    final OperatorCommand command;
    final RevisionId of; // whose body it takes up again, NONE for one of its own
    final Digest body;
    final String by;
    final String why;
    final boolean forced;
    final long proposedWall;
    Fate fate = Fate.PROPOSED;
    long since; // in force, by the fleet's clock
    long sinceWall;
    String reasons = ""; // why it was turned down

    Revision(
            RevisionId id,
            OperatorCommand command,
            RevisionId of,
            Digest body,
            String by,
            String why,
            boolean forced,
            long proposedWall) {
        this.id = id;
        this.command = command;
        this.of = of;
        this.body = body;
        this.by = by;
        this.why = why;
        this.forced = forced;
        this.proposedWall = proposedWall;
    }

    public RevisionId id() {
        return id;
    }

    public RevisionId of() {
        return of;
    }

    public Digest body() {
        return body;
    }

    public String by() {
        return by;
    }

    public String why() {
        return why;
    }

    public Fate fate() {
        return fate;
    }

    public long proposedWall() {
        return proposedWall;
    }

    public long sinceWall() {
        return sinceWall;
    }

    public String reasons() {
        return reasons;
    }
}
