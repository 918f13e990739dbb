package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.exceptions.GroupMismatchException;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.Way;
import tallyweir.ids.TenantId;

/** The way to the voters: what is asked goes out on a thread of this link, what comes back is told where it is asked for. */
public final class Link implements Way {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);

    private final String fleet;
    private final Map<String, String> voters;
    private final long giveUpMs;
    private final RaftClient client;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "fleet link");
        t.setDaemon(true);
        return t;
    });

    /** @param giveUpMs how long an answer is waited for */
    public Link(String fleet, Map<String, String> voters, long giveUpMs) {
        this.fleet = fleet;
        this.voters = voters;
        this.giveUpMs = giveUpMs;
        client = Voters.client(fleet, voters, giveUpMs);
    }

    /** The fleet's name. */
    public String name() {
        return fleet;
    }

    // ---- for a server: what comes back is told on its own thread

    @Override
    public void join(ServerId server, String listen, long life, Executor deciding, Answers to, Runnable failed) {
        send(Wire.join(fleet, server, listen, life), deciding, to, failed);
    }

    @Override
    public void report(
            ServerId server,
            Incarnation as,
            long number,
            RevisionId acting,
            Digest inForce,
            long outdated,
            RevisionId checked,
            String cannot,
            long ended,
            long bad,
            Map<TenantId, Need> needs,
            Executor deciding,
            Answers to,
            Runnable failed) {
        send(
                Wire.report(server, as, number, acting, inForce, outdated, checked, cannot, ended, bad, needs),
                deciding,
                to,
                failed);
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        try {
            ask(Wire.leave(server, as), false);
        } catch (IOException | RuntimeException e) {
            LOG.debug("the fleet will find out by itself that this server has left", e);
        }
    }

    @Override
    public void body(RevisionId revision, Executor deciding, Consumer<byte[]> to) {
        thread.execute(() -> {
            byte[] text = null;
            try {
                text = body(revision);
            } catch (RuntimeException e) {
                LOG.debug("no text of a revision", e);
            }
            byte[] had = text;
            deciding.execute(() -> to.accept(had));
        });
    }

    private void send(byte[] command, Executor deciding, Answers to, Runnable failed) {
        thread.execute(() -> {
            JsonNode answer;
            try {
                answer = ask(command, false);
            } catch (IOException | RuntimeException e) {
                LOG.debug("no answer from the fleet", e);
                deciding.execute(failed);
                return;
            }
            deciding.execute(() -> {
                if (Wire.isAnswer(answer)) {
                    Wire.answer(answer, to);
                } else {
                    failed.run(); // the state could make nothing of it
                }
            });
        });
    }

    // ---- for operators, and what may wait

    public void publish(
            OperatorCommand command,
            RevisionId expected,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean force,
            Answers to) {
        change(command, Wire.publish(command, expected, digest, body, by, why, force), to);
    }

    public void rollback(
            OperatorCommand command,
            RevisionId expected,
            RevisionId back,
            String by,
            String why,
            boolean force,
            Answers to) {
        change(command, Wire.rollback(command, expected, back, by, why, force), to);
    }

    /** One that was sent and not answered may have been done: whoever asks again with the same command finds out. */
    private void change(OperatorCommand command, byte[] bytes, Answers to) {
        try {
            Wire.answer(ask(bytes, false), to);
        } catch (IOException | RuntimeException e) {
            LOG.debug("no answer from the fleet", e);
            to.refused(new Fault.OutcomeUnknown(command.value()));
        }
    }

    /** The text of a revision, null where there is none of that number. */
    public byte[] body(RevisionId revision) {
        JsonNode a = question(Wire.CBOR.createObjectNode().put("ask", "body").put("revision", revision.value()));
        try {
            return a.has("body") ? a.get("body").binaryValue() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** All that the shared state knows of revisions, servers and caps. */
    public JsonNode audit() {
        return question(Wire.CBOR.createObjectNode().put("ask", "audit"));
    }

    private JsonNode question(JsonNode q) {
        try {
            return ask(Wire.bytes(q), true);
        } catch (IOException | RuntimeException e) {
            LOG.debug("no answer from the fleet", e);
            for (Throwable t = e; t != null; t = t.getCause()) {
                if (t instanceof GroupMismatchException) {
                    throw new Fault.Stranger(fleet, "at " + String.join(", ", voters.values())).thrown();
                }
            }
            throw new Fault.NoLeader(String.join(", ", voters.values()), giveUpMs).thrown();
        }
    }

    private JsonNode ask(byte[] bytes, boolean question) throws IOException {
        Message m = Message.valueOf(ByteString.copyFrom(bytes));
        RaftClientReply reply =
                question ? client.io().sendReadOnly(m) : client.io().send(m);
        if (!reply.isSuccess()) {
            throw new IOException("turned down", reply.getException());
        }
        return Wire.node(reply.getMessage().getContent().toByteArray());
    }

    @Override
    public void close() {
        thread.shutdownNow();
        try {
            client.close();
        } catch (IOException e) {
            LOG.debug("the way to the fleet did not close well", e);
        }
    }
}
