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

/** Sends commands and questions to the voters of a fleet and waits for what comes back. For several threads at once. */
final class VoterConnection implements AutoCloseable {
    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final QuestionCodec questions = new QuestionCodec();
    private final ReplyCodec replies = new ReplyCodec();
    private final List<String> names;
    private final RaftClient leader;
    private final RaftClient single;

    /** @param giveUpMs about how long an answer is waited for */
    VoterConnection(String fleet, Map<String, String> voters, long giveUpMs) {
        names = List.copyOf(voters.keySet());
        leader = Voters.client(fleet, voters, giveUpMs);
        single = Voters.clientWithoutRetry(fleet, voters, giveUpMs);
    }

    /** The names of all voters. */
    List<String> names() {
        return names;
    }

    /** Has a command applied; without an answer it may have been applied or not. */
    Answer send(Command command) throws IOException {
        RaftClientReply reply = leader.io().send(message(commands.encode(command)));
        return answers.decode(content(reply));
    }

    /** Asks the leader; the reply tells of all that was acknowledged before. */
    Reply askLeader(Question question) throws IOException {
        RaftClientReply reply = leader.io().sendReadOnly(message(questions.encode(question)));
        return replies.decode(content(reply));
    }

    /** Asks one voter, whether it leads or not, once; the reply may be behind. */
    Reply askVoter(String voter, Question question) throws IOException {
        RaftClientReply reply =
                single.io().sendStaleRead(message(questions.encode(question)), 0, RaftPeerId.valueOf(voter));
        return replies.decode(content(reply));
    }

    /** Whether a failure says that the voters belong to another fleet. */
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

    private static byte[] content(RaftClientReply reply) throws IOException {
        if (!reply.isSuccess()) {
            throw new IOException("the voters turned the request down", reply.getException());
        }
        return reply.getMessage().getContent().toByteArray();
    }

    @Override
    public void close() throws IOException {
        try (leader;
                single) {
            return;
        }
    }
}
