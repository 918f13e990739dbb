package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import tallyweir.fleet.ratis.RatisFleetClient;

/** Asks the voters of a live run for a change of one cap at a steady pace, and for each again until it is in a revision. */
final class LiveOperator {
    private static final long RETRY = ScaleSettings.SECOND / 10;

    /** A change that was taken: when it was asked for, ms since 1970, and its revision. */
    record Taken(long askedAt, long revision) {}

    private final EventQueue events;
    private final OperatorUnderTest operator;
    private final RatisFleetClient client;
    private final List<Long> waiting = new ArrayList<>(); // when each was asked for that is in no revision yet
    private final List<Taken> taken = new ArrayList<>();
    private long lastRevision;

    LiveOperator(EventQueue events, OperatorUnderTest operator, RatisFleetClient client) {
        this.events = events;
        this.operator = operator;
        this.client = client;
    }

    /** Asks for a change that brings the first revision into force; true once it is. */
    boolean publish(OperatorUnderTest.Change first) {
        return first.hear(client.request(first.command())) == OperatorUnderTest.Outcome.TAKEN;
    }

    /** Asks for changes from now on until then. */
    void changeUntil(long end, long every) {
        if (events.now() >= end) {
            return;
        }
        long askedAt = System.currentTimeMillis();
        waiting.add(askedAt);
        ask(operator.changeOneCap(), askedAt);
        events.after(every, () -> changeUntil(end, every));
    }

    /** An answer that did not come is as good as one that says to wait: the same command again tells. */
    private void ask(OperatorUnderTest.Change change, long askedAt) {
        if (change.hear(client.request(change.command())) == OperatorUnderTest.Outcome.TAKEN) {
            waiting.remove(Long.valueOf(askedAt));
            taken.add(new Taken(askedAt, change.revision()));
            lastRevision = Math.max(lastRevision, change.revision());
        } else {
            events.after(RETRY, () -> ask(change, askedAt));
        }
    }

    List<Taken> taken() {
        return taken;
    }

    /** When the changes were asked for that have not been taken, ms since 1970. */
    List<Long> waiting() {
        return List.copyOf(waiting);
    }

    /** The last revision that a change is in, 0 for none. */
    long lastRevision() {
        return lastRevision;
    }
}
