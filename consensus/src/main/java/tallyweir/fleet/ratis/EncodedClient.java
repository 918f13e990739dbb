package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.Map;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/** A client of the voters that sends and returns messages in their encoded form; each call waits for its answer. */
public final class EncodedClient implements AutoCloseable {
    private final RaftClient client;

    /**
     * Opens one.
     *
     * @param voters names and addresses
     * @param giveUpMs how long an answer is waited for
     */
    public EncodedClient(String fleet, Map<String, String> voters, long giveUpMs) {
        client = Voters.client(fleet, voters, giveUpMs);
    }

    /** Has a command written to the log and applied. */
    public byte[] command(byte[] command) throws IOException {
        return content(client.io().send(message(command)));
    }

    /** Asks what is no entry of the log. */
    public byte[] question(byte[] question) throws IOException {
        return content(client.io().sendReadOnly(message(question)));
    }

    private static Message message(byte[] bytes) {
        return Message.valueOf(ByteString.copyFrom(bytes));
    }

    private static byte[] content(RaftClientReply reply) throws IOException {
        if (!reply.isSuccess()) {
            throw new IOException("turned down", reply.getException());
        }
        return reply.getMessage().getContent().toByteArray();
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
