package tallyweir.tool.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.ratis.EncodedMessages;

/** Asks for a change of one cap at a steady pace, and for each again until it is in a revision that comes into force. */
final class SimulatedOperator {
    private static final long RETRY = ScaleSettings.SECOND / 10;

    private final EventQueue events;
    private final EncodedMessages messages;
    private final OperatorUnderTest operator;
    private final SimulatedVoters voters;
    private final SimulatedServers servers;
    private final ChangeTracker changes;
    private final List<Long> waiting = new ArrayList<>(); // when each was asked for that is in no revision yet
    private int taken;
    private int refused;
    private int turnedDown;

    SimulatedOperator(
            EventQueue events,
            EncodedMessages messages,
            OperatorUnderTest operator,
            SimulatedVoters voters,
            SimulatedServers servers,
            ChangeTracker changes) {
        this.events = events;
        this.messages = messages;
        this.operator = operator;
        this.voters = voters;
        this.servers = servers;
        this.changes = changes;
    }

    /** Founds the fleet and brings its first revision into force. */
    void found() {
        send(operator.found());
        OperatorUnderTest.Change first = operator.publishFirst();
        if (first.hear(send(first.command())) != OperatorUnderTest.Outcome.TAKEN) {
            throw new IllegalStateException("the first revision was turned down");
        }
    }

    private Answer send(Command command) {
        try {
            return messages.decodeAnswer(voters.command(messages.encode(command)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Asks for changes from now on until then. */
    void changeUntil(long end, long every) {
        if (events.now() >= end) {
            return;
        }
        begin(events.now());
        events.after(every, () -> changeUntil(end, every));
    }

    private void begin(long askedAt) {
        waiting.add(askedAt);
        ask(operator.changeOneCap(), askedAt);
    }

    private void ask(OperatorUnderTest.Change change, long askedAt) {
        switch (change.hear(send(change.command()))) {
            case TAKEN -> {
                waiting.remove(Long.valueOf(askedAt));
                taken++;
                changes.opened(change.revision(), askedAt, events.now(), servers.counting(), servers::acting);
                events.after(RETRY, () -> follow(change.revision(), askedAt));
            }
            case WAITING -> events.after(RETRY, () -> ask(change, askedAt));
            default -> {
                refused++;
                events.after(RETRY, () -> ask(operator.changeOneCap(), askedAt));
            }
        }
    }

    /** Until a revision is in force; a change whose revision is turned down is asked for again. */
    private void follow(long revision, long askedAt) {
        VoterUnderTest voter = voters.leads();
        if (voter.turnedDown(revision)) {
            turnedDown++;
            taken--;
            changes.turnedDown(revision);
            begin(askedAt);
        } else if (voter.inForce() < revision) {
            events.after(RETRY, () -> follow(revision, askedAt));
        }
    }

    /** Takes the changes that still wait for as long as they have waited, and returns how many these are. */
    int close() {
        waiting.forEach(askedAt -> changes.neverTaken(askedAt, events.now()));
        return waiting.size();
    }

    /** Whether no change waits to be taken. */
    boolean idle() {
        return waiting.isEmpty();
    }

    /** Changes that are in a revision. */
    int taken() {
        return taken;
    }

    /** Changes that were turned down at once, and asked for again. */
    int refused() {
        return refused;
    }

    /** Changes whose revision was turned down after it had been proposed. */
    int turnedDown() {
        return turnedDown;
    }

    OperatorUnderTest operator() {
        return operator;
    }
}
