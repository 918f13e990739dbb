package tallyweir.tool.scale;

import java.util.ArrayDeque;

/** Asks for a change of one cap at a steady pace, and for each again until it is taken. */
final class SimulatedOperator {
    private static final long RETRY = ScaleSettings.SECOND / 10;

    private final EventQueue events;
    private final OperatorUnderTest operator;
    private final SimulatedVoters voters;
    private final SimulatedServers servers;
    private final ChangeTracker changes;
    private final ArrayDeque<Long> asked = new ArrayDeque<>(); // when; the first is under way
    private int taken;
    private int refused;
    private int turnedDown;

    SimulatedOperator(
            EventQueue events,
            OperatorUnderTest operator,
            SimulatedVoters voters,
            SimulatedServers servers,
            ChangeTracker changes) {
        this.events = events;
        this.operator = operator;
        this.voters = voters;
        this.servers = servers;
        this.changes = changes;
    }

    /** Founds the fleet and brings its first revision into force. */
    void found() {
        voters.command(operator.found());
        operator.outcome(voters.command(operator.publishFirst()));
    }

    /** Asks for changes from now on until then. */
    void changeUntil(long end, long every) {
        if (events.now() >= end) {
            return;
        }
        asked.add(events.now());
        if (asked.size() == 1) {
            ask(operator.changeOneCap());
        }
        events.after(every, () -> changeUntil(end, every));
    }

    private void ask(byte[] command) {
        OperatorUnderTest.Outcome outcome = operator.outcome(voters.command(command));
        switch (outcome) {
            case TAKEN -> taken(operator.revision(), asked.remove());
            case REFUSED -> {
                refused++;
                asked.remove();
                next();
            }
            default -> events.after(RETRY, () -> ask(operator.again()));
        }
    }

    private void taken(long revision, long askedAt) {
        taken++;
        changes.opened(revision, askedAt, events.now(), servers.counting(), servers::acting);
        events.after(RETRY, () -> follow(revision, askedAt));
        next();
    }

    /** Until a revision is in force; a change whose revision is turned down is asked for again. */
    private void follow(long revision, long askedAt) {
        VoterUnderTest voter = voters.leads();
        if (voter.turnedDown(revision)) {
            turnedDown++;
            taken--;
            changes.turnedDown(revision);
            asked.add(askedAt);
            if (asked.size() == 1) {
                ask(operator.changeOneCap());
            }
        } else if (voter.inForce() < revision) {
            events.after(RETRY, () -> follow(revision, askedAt));
        }
    }

    private void next() {
        if (!asked.isEmpty()) {
            ask(operator.changeOneCap());
        }
    }

    /** Takes the changes that still wait for as long as they have waited, and returns how many these are. */
    int close() {
        int left = asked.size();
        asked.forEach(at -> changes.neverTaken(at, events.now()));
        asked.clear();
        return left;
    }

    /** Whether no change waits to be taken. */
    boolean idle() {
        return asked.isEmpty();
    }

    /** Changes that were taken. */
    int taken() {
        return taken;
    }

    /** Changes that were turned down. */
    int refused() {
        return refused;
    }

    /** Revisions that were turned down after they had been proposed. */
    int turnedDown() {
        return turnedDown;
    }

    OperatorUnderTest operator() {
        return operator;
    }
}
