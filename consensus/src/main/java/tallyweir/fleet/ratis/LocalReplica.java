package tallyweir.fleet.ratis;

import java.io.IOException;
import java.nio.file.Path;
import tallyweir.fleet.State;

/**
 * One replica of the fleet's state without Ratis around it: encoded commands in, encoded answers out, at a clock that is
 * handed in. Simulations and measurements use it in place of a voter.
 */
public final class LocalReplica {
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final QuestionCodec questions = new QuestionCodec();
    private final ReplyCodec replies = new ReplyCodec();
    private final State state;
    private final TableReplies tables;

    /** A replica with an empty state. */
    public LocalReplica() {
        this(new State());
    }

    private LocalReplica(State state) {
        this.state = state;
        tables = new TableReplies(state::table);
    }

    /** A replica with the state of a snapshot that {@link #save} wrote. */
    public static LocalReplica load(Path file) throws IOException {
        State state = new State();
        try (SnapshotFileReader reader = new SnapshotFileReader(file)) {
            state.load(reader);
        }
        return new LocalReplica(state);
    }

    /** Writes the whole state as a voter does. */
    public void save(Path file) throws IOException {
        try (SnapshotFileWriter writer = new SnapshotFileWriter(file)) {
            state.save(writer);
            writer.finish();
        }
    }

    /**
     * Applies one command of the log.
     *
     * @param now the fleet's clock, tenths of a millisecond
     * @param wall the wall's clock, ms since 1970
     * @return the answer as it goes over the wire
     */
    public byte[] apply(long now, long wall, byte[] command) throws IOException {
        state.clock(now, wall);
        return answers.encode(state.apply(commands.decode(command)));
    }

    /** The encoded reply to an encoded question about a table. */
    public byte[] reply(byte[] question) throws IOException {
        return replies.encode(tables.reply(questions.decode(question)));
    }

    /** The state that commands are applied to. */
    public State state() {
        return state;
    }
}
