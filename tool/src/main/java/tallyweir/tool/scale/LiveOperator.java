package tallyweir.tool.scale;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import tallyweir.fleet.ratis.EncodedClient;

/** Asks the voters of a live run for a change of one cap at a steady pace, and for each again until it is taken. */
final class LiveOperator {
    private static final long RETRY = ScaleSettings.SECOND / 10;

    /** A change that was taken: when it was asked for, ms since 1970, and its revision. */
    record Taken(long askedAt, long revision) {}

    private final EventQueue events;
    private final OperatorUnderTest operator;
    private final EncodedClient client;
    private final ArrayDeque<Long> asked = new ArrayDeque<>(); // when; the first is under way
    private final List<Taken> taken = new ArrayList<>();
    private int refused;

    LiveOperator(EventQueue events, OperatorUnderTest operator, EncodedClient client) {
        this.events = events;
        this.operator = operator;
        this.client = client;
    }

    /** Brings the first revision into force; true once it is. */
    boolean publishFirst() {
        return send(operator.publishFirst()) == OperatorUnderTest.Outcome.TAKEN;
    }

    /** Asks for changes from now on until then. */
    void changeUntil(long end, long every) {
        if (events.now() >= end) {
            return;
        }
        asked.add(System.currentTimeMillis());
        if (asked.size() == 1) {
            ask(operator.changeOneCap());
        }
        events.after(every, () -> changeUntil(end, every));
    }

    private void ask(byte[] command) {
        switch (send(command)) {
            case TAKEN -> {
                taken.add(new Taken(asked.remove(), operator.revision()));
                next();
            }
            case REFUSED -> {
                refused++;
                asked.remove();
                next();
            }
            default -> events.after(RETRY, () -> ask(operator.again()));
        }
    }

    private OperatorUnderTest.Outcome send(byte[] command) {
        try {
            return operator.outcome(client.command(command));
        } catch (IOException | RuntimeException e) {
            return OperatorUnderTest.Outcome.LOST; // whether it was applied is found out by asking again
        }
    }

    private void next() {
        if (!asked.isEmpty()) {
            events.after(RETRY, () -> ask(operator.changeOneCap()));
        }
    }

    List<Taken> taken() {
        return taken;
    }

    /** When the changes were asked for that have not been taken, ms since 1970. */
    List<Long> waiting() {
        return List.copyOf(asked);
    }

    int refused() {
        return refused;
    }

    /** The last revision that a change is in, 0 for none. */
    long lastRevision() {
        return operator.revision();
    }
}
