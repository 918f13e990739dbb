package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import tallyweir.fleet.Body;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.State;

/**
 * One replica of the fleet's state without Ratis around it: encoded commands in, encoded answers out, at a clock that is
 * handed in. Simulations and measurements use it in place of a voter.
 */
public final class LocalReplica {
    private final State state;

    /** A replica with an empty state. */
    public LocalReplica() {
        this(new State());
    }

    private LocalReplica(State state) {
        this.state = state;
    }

    /** A replica with the state of a snapshot that {@link #snapshot} gave. */
    public static LocalReplica restore(byte[] snapshot) {
        State state = new State();
        try {
            state.load(Wire.CBOR.readValue(snapshot, Map.class));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new LocalReplica(state);
    }

    /** The whole state in the form in which a voter writes it to its disk. */
    public byte[] snapshot() {
        try {
            return Wire.CBOR.writeValueAsBytes(state.save());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Applies one command of the log.
     *
     * @param now the fleet's clock, tenths of a millisecond
     * @param wall the wall's clock, ms since 1970
     * @return the answer as it goes over the wire
     */
    public byte[] apply(long now, long wall, byte[] command) {
        Wire.Writer answer = new Wire.Writer();
        state.clock(now, wall);
        Wire.apply(state, Wire.node(command), answer);
        return answer.written();
    }

    /** The answer to a question for a revision's body, as it goes over the wire. */
    public byte[] body(RevisionId revision) {
        ObjectNode answer = Wire.CBOR.createObjectNode();
        Body body = state.body(revision);
        if (body != null) {
            answer.put("body", body.bytes());
        }
        return Wire.bytes(answer);
    }

    /** The state that commands are applied to. */
    public State state() {
        return state;
    }
}
