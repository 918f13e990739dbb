package tallyweir.fleet.ratis;

import java.io.IOException;
import java.nio.file.Path;
import tallyweir.fleet.State;

/**
 * One replica of the fleet's state without Ratis: it takes encoded commands with the time to apply them at and returns encoded
 * answers. Simulations and measurements use it in place of a voter. Not thread-safe.
 */
public final class LocalReplica {
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final ReadRequestCodec requests = new ReadRequestCodec();
    private final ReadResponseCodec responses = new ReadResponseCodec();
    private final State state;
    private final TableReader tableReader;

    /** Creates a replica with an empty state. */
    public LocalReplica() {
        this(new State());
    }

    private LocalReplica(State state) {
        this.state = state;
        tableReader = new TableReader(state::table);
    }

    /** Creates a replica from a snapshot written by {@link #save}. */
    public static LocalReplica load(Path file) throws IOException {
        State state = new State();
        try (SnapshotFileReader reader = new SnapshotFileReader(file)) {
            state.load(reader);
        }
        return new LocalReplica(state);
    }

    /** Writes the complete state in a voter's snapshot format. */
    public void save(Path file) throws IOException {
        try (SnapshotFileWriter writer = new SnapshotFileWriter(file)) {
            state.save(writer);
            writer.finish();
        }
    }

    /**
     * Applies one command of the log.
     *
     * @param fleetTime the fleet's clock in tenths of a millisecond
     * @param wallClockMs wall clock time, ms since 1970
     * @return the encoded answer
     */
    public byte[] apply(long fleetTime, long wallClockMs, byte[] command) throws IOException {
        state.clock(fleetTime, wallClockMs);
        return answers.encode(state.apply(commands.decode(command)));
    }

    /** Answers an encoded read request about a table with an encoded response. */
    public byte[] read(byte[] request) throws IOException {
        return responses.encode(tableReader.read(requests.decode(request)));
    }

    /** The state that commands are applied to. */
    public State state() {
        return state;
    }
}
