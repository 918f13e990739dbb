package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.ids.TenantId;

/** The encoded form of what servers and operators send, and of what comes back, for use without a connection. */
public final class EncodedMessages {
    private EncodedMessages() {}

    /** The command by which a leader founds the fleet. */
    public static byte[] found(String fleet, Voter.Founding founding) {
        return founding.command(fleet);
    }

    /** The command that only tells the time. */
    public static byte[] tick() {
        return Wire.tick();
    }

    /** A server asks for a place. */
    public static byte[] join(String fleet, ServerId server, String listen, long life) {
        return Wire.join(fleet, server, listen, life);
    }

    /** A server reports. */
    public static byte[] report(
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
            Map<TenantId, Need> needs) {
        return Wire.report(server, as, number, acting, inForce, outdated, checked, cannot, ended, bad, needs);
    }

    /** An operator proposes a revision. */
    public static byte[] publish(
            OperatorCommand command,
            RevisionId expected,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean force) {
        return Wire.publish(command, expected, digest, body, by, why, force);
    }

    /** An operator brings an earlier revision back. */
    public static byte[] rollback(
            OperatorCommand command, RevisionId expected, RevisionId back, String by, String why, boolean force) {
        return Wire.rollback(command, expected, back, by, why, force);
    }

    /** A server asks for a revision's body. */
    public static byte[] askBody(RevisionId revision) {
        return Wire.bytes(Wire.CBOR.createObjectNode().put("ask", "body").put("revision", revision.value()));
    }

    /** The revision that {@link #askBody} asks for. */
    public static long askedBody(byte[] question) {
        return Wire.node(question).get("revision").longValue();
    }

    /** The body in an answer to {@link #askBody}, null where there is none. */
    public static byte[] body(byte[] answer) {
        JsonNode body = Wire.node(answer).get("body");
        try {
            return body == null ? null : body.binaryValue();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Tells what an answer says. */
    public static void answer(byte[] answer, Answers to) {
        Wire.answer(Wire.node(answer), to);
    }
}
