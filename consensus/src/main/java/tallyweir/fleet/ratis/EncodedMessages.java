package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.List;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.table.Table;

/** Messages between servers and voters in encoded form, for simulations and measurements without a connection. */
public final class EncodedMessages {
    private static final String SOURCE = "a simulated voter";

    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final ReadRequestCodec requests = new ReadRequestCodec();
    private final ReadResponseCodec responses = new ReadResponseCodec();

    /** Answers encoded read requests. */
    public interface Source {
        /** Returns the encoded response to an encoded read request. */
        byte[] read(byte[] request) throws IOException;
    }

    /** Encodes a command. */
    public byte[] encode(Command command) {
        return commands.encode(command);
    }

    /** Decodes an answer. */
    public Answer decodeAnswer(byte[] answer) throws IOException {
        return answers.decode(answer);
    }

    /**
     * Fetches a table as a server does, as a difference or in chunks, and verifies it against its root.
     *
     * @param have a table that the caller has, {@code EMPTY} for none
     */
    public Table fetch(Table have, RevisionRoot wanted, Source source) {
        TableSource encoded = request -> responses.decode(source.read(requests.encode(request)));
        return new TableFetch(List.of(encoded), SOURCE, 0).fetch(have, wanted);
    }
}
