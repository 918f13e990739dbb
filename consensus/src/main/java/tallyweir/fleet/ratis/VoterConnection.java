package tallyweir.fleet.ratis;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.GroupMismatchException;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;

/** Sends commands and read requests to the voters of a fleet and waits for the response. Thread-safe. */
final class VoterConnection implements AutoCloseable {
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final ReadRequestCodec requests = new ReadRequestCodec();
    private final ReadResponseCodec responses = new ReadResponseCodec();
    private final List<String> voterNames;
    private final RaftClient leaderClient;
    private final RaftClient singleAttemptClient;

    /** @param timeoutMs about how long an answer is waited for, in ms */
    VoterConnection(String fleet, Map<String, String> voters, long timeoutMs) {
        voterNames = List.copyOf(voters.keySet());
        leaderClient = VoterGroup.client(fleet, voters, timeoutMs);
        singleAttemptClient = VoterGroup.clientWithoutRetry(fleet, voters, timeoutMs);
    }

    /** Returns the names of all voters. */
    List<String> voterNames() {
        return voterNames;
    }

    /** Sends a command to be applied; if this throws, the command may have been applied or not. */
    Answer send(Command command) throws IOException {
        RaftClientReply response = leaderClient.io().send(message(commands.encode(command)));
        return answers.decode(content(response));
    }

    /** Linearizable read from the leader: the response includes everything acknowledged before. */
    ReadResponse readFromLeader(ReadRequest request) throws IOException {
        RaftClientReply response = leaderClient.io().sendReadOnly(message(requests.encode(request)));
        return responses.decode(content(response));
    }

    /** Stale read from one voter, leader or follower, without retries; the response may lag behind the leader. */
    ReadResponse readFromVoter(String voter, ReadRequest request) throws IOException {
        RaftClientReply response =
                singleAttemptClient.io().sendStaleRead(message(requests.encode(request)), 0, RaftPeerId.valueOf(voter));
        return responses.decode(content(response));
    }

    /** Returns whether a failure means that the voters belong to another fleet. */
    static boolean isOtherFleet(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof GroupMismatchException) {
                return true;
            }
        }
        return false;
    }

    private static Message message(byte[] bytes) {
        return Message.valueOf(ByteString.copyFrom(bytes));
    }

    private static byte[] content(RaftClientReply response) throws IOException {
        if (!response.isSuccess()) {
            throw new IOException("the voters refused the request", response.getException());
        }
        return response.getMessage().getContent().toByteArray();
    }

    @Override
    public void close() throws IOException {
        try (leaderClient;
                singleAttemptClient) {
            return;
        }
    }
}
