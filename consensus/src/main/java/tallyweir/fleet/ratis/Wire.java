package tallyweir.fleet.ratis;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.RecordComponent;
import java.util.HashMap;
import java.util.Map;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Grant;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.State;
import tallyweir.ids.TenantId;

/** Commands and answers as CBOR. What is decoded goes straight into a call of the state, or of who hears the answer. */
final class Wire {
    static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    private Wire() {}

    static byte[] bytes(JsonNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static JsonNode node(byte[] bytes) {
        try {
            return CBOR.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ObjectNode command(String what) {
        return CBOR.createObjectNode().put("do", what);
    }

    // ---- commands

    static byte[] tick() {
        return bytes(command("tick"));
    }

    static byte[] found(
            String fleet,
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare,
            long probation,
            double worseRatio,
            double sickShare) {
        return bytes(command("found")
                .put("fleet", fleet)
                .put("version", version)
                .put("lease", lease)
                .put("tail", tail)
                .put("floor_lease", floorLease)
                .put("behind", behindMost)
                .put("drift", drift)
                .put("out", mostOut)
                .put("cannot", mostCannot)
                .put("servers", serversMost)
                .put("floor", floorShare)
                .put("probation", probation)
                .put("worse", worseRatio)
                .put("sick", sickShare));
    }

    static byte[] join(String fleet, ServerId server, String listen, long life) {
        return bytes(command("join")
                .put("fleet", fleet)
                .put("server", server.value())
                .put("listen", listen)
                .put("life", life));
    }

    static byte[] report(
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
        ObjectNode c = command("report")
                .put("server", server.value())
                .put("as", as.value())
                .put("number", number)
                .put("acting", acting.value())
                .put("digest", inForce.value())
                .put("outdated", outdated)
                .put("checked", checked.value())
                .put("cannot", cannot)
                .put("ended", ended)
                .put("bad", bad);
        ObjectNode of = c.putObject("needs");
        needs.forEach((t, n) -> of.putArray(t.value()).add(n.keep()).add(n.want()));
        return bytes(c);
    }

    static byte[] leave(ServerId server, Incarnation as) {
        return bytes(command("leave").put("server", server.value()).put("as", as.value()));
    }

    static byte[] publish(
            OperatorCommand command,
            RevisionId expected,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean force) {
        ObjectNode c = change("publish", command, expected, by, why, force)
                .put("digest", digest.value())
                .put("body", body.bytes());
        ObjectNode caps = c.putObject("caps");
        body.caps().forEach((t, n) -> caps.put(t.value(), n));
        ObjectNode digests = c.putObject("digests");
        body.digests().forEach((n, d) -> digests.put(n, d.value()));
        return bytes(c);
    }

    static byte[] rollback(
            OperatorCommand command, RevisionId expected, RevisionId back, String by, String why, boolean force) {
        return bytes(change("rollback", command, expected, by, why, force).put("to", back.value()));
    }

    private static ObjectNode change(
            String what, OperatorCommand command, RevisionId expected, String by, String why, boolean force) {
        return command(what)
                .put("command", command.value())
                .put("expected", expected.value())
                .put("by", by)
                .put("why", why)
                .put("force", force);
    }

    /** Has the state do what a command says. */
    static void apply(State state, JsonNode c, Answers to) {
        switch (text(c, "do")) {
            case "tick" -> {
                state.tick();
                to.done(state.inForce());
            }
            case "found" ->
                state.found(
                        text(c, "fleet"),
                        number(c, "version"),
                        number(c, "lease"),
                        number(c, "tail"),
                        number(c, "floor_lease"),
                        number(c, "behind"),
                        c.get("drift").doubleValue(),
                        c.get("out").doubleValue(),
                        c.get("cannot").doubleValue(),
                        c.get("servers").intValue(),
                        c.get("floor").doubleValue(),
                        number(c, "probation"),
                        c.get("worse").doubleValue(),
                        c.get("sick").doubleValue(),
                        to);
            case "join" -> state.join(text(c, "fleet"), server(c), text(c, "listen"), number(c, "life"), to);
            case "report" -> {
                Map<TenantId, Need> needs = new HashMap<>();
                c.get("needs")
                        .fields()
                        .forEachRemaining(e -> needs.put(
                                new TenantId(e.getKey()),
                                new Need(
                                        e.getValue().get(0).intValue(),
                                        e.getValue().get(1).intValue())));
                state.report(
                        server(c),
                        life(c),
                        number(c, "number"),
                        revision(c, "acting"),
                        new Digest(text(c, "digest")),
                        number(c, "outdated"),
                        revision(c, "checked"),
                        text(c, "cannot"),
                        number(c, "ended"),
                        number(c, "bad"),
                        needs,
                        to);
            }
            case "leave" -> state.leave(server(c), life(c), to);
            case "publish" -> {
                Map<TenantId, Integer> caps = new HashMap<>();
                c.get("caps")
                        .fields()
                        .forEachRemaining(e ->
                                caps.put(new TenantId(e.getKey()), e.getValue().intValue()));
                Map<String, Digest> digests = new HashMap<>();
                c.get("digests")
                        .fields()
                        .forEachRemaining(e ->
                                digests.put(e.getKey(), new Digest(e.getValue().textValue())));
                state.publish(
                        operator(c),
                        revision(c, "expected"),
                        new Digest(text(c, "digest")),
                        new Body(binary(c, "body"), caps, digests),
                        text(c, "by"),
                        text(c, "why"),
                        yes(c, "force"),
                        to);
            }
            case "rollback" ->
                state.rollback(
                        operator(c),
                        revision(c, "expected"),
                        revision(c, "to"),
                        text(c, "by"),
                        text(c, "why"),
                        yes(c, "force"),
                        to);
            default -> throw new IllegalArgumentException("no command '" + text(c, "do") + "'");
        }
    }

    private static String text(JsonNode c, String name) {
        return c.get(name).textValue();
    }

    private static long number(JsonNode c, String name) {
        return c.get(name).longValue();
    }

    private static boolean yes(JsonNode c, String name) {
        return c.get(name).booleanValue();
    }

    private static byte[] binary(JsonNode c, String name) {
        try {
            return c.get(name).binaryValue();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ServerId server(JsonNode c) {
        return new ServerId(text(c, "server"));
    }

    private static Incarnation life(JsonNode c) {
        return new Incarnation(number(c, "as"));
    }

    private static RevisionId revision(JsonNode c, String name) {
        return new RevisionId(number(c, name));
    }

    private static OperatorCommand operator(JsonNode c) {
        return new OperatorCommand(text(c, "command"));
    }

    // ---- answers

    /** Writes the one answer that comes. */
    static final class Writer implements Answers {
        private ObjectNode answer = answer("none");

        private static ObjectNode answer(String what) {
            return CBOR.createObjectNode().put("a", what);
        }

        byte[] written() {
            return bytes(answer);
        }

        @Override
        public void joined(Incarnation as, int places, double floorShare, long next) {
            answer = answer("joined")
                    .put("as", as.value())
                    .put("places", places)
                    .put("floor", floorShare)
                    .put("next", next);
        }

        @Override
        public void told(
                long number,
                long lease,
                long floorLease,
                boolean floorsFree,
                RevisionId inForce,
                long age,
                RevisionId toCheck,
                Map<TenantId, Grant> shares,
                long next) {
            answer = answer("told")
                    .put("number", number)
                    .put("lease", lease)
                    .put("floor_lease", floorLease)
                    .put("free", floorsFree)
                    .put("in_force", inForce.value())
                    .put("age", age)
                    .put("check", toCheck.value())
                    .put("next", next);
            ObjectNode of = answer.putObject("shares");
            shares.forEach((t, g) -> of.putArray(t.value()).add(g.granted()).add(g.target()));
        }

        @Override
        public void done(RevisionId revision) {
            answer = answer("done").put("revision", revision.value());
        }

        @Override
        public void refused(Fault why) {
            answer = answer("refused").put("kind", why.getClass().getSimpleName());
            ArrayNode facts = answer.putArray("facts");
            try {
                for (RecordComponent f : why.getClass().getRecordComponents()) {
                    facts.addPOJO(f.getAccessor().invoke(why));
                }
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static boolean isAnswer(JsonNode a) {
        return !text(a, "a").equals("none");
    }

    /** Tells what an answer says. */
    static void answer(JsonNode a, Answers to) {
        switch (text(a, "a")) {
            case "joined" ->
                to.joined(life(a), a.get("places").intValue(), a.get("floor").doubleValue(), number(a, "next"));
            case "told" -> {
                Map<TenantId, Grant> shares = new HashMap<>();
                a.get("shares")
                        .fields()
                        .forEachRemaining(e -> shares.put(
                                new TenantId(e.getKey()),
                                new Grant(
                                        e.getValue().get(0).intValue(),
                                        e.getValue().get(1).intValue())));
                to.told(
                        number(a, "number"),
                        number(a, "lease"),
                        number(a, "floor_lease"),
                        yes(a, "free"),
                        revision(a, "in_force"),
                        number(a, "age"),
                        revision(a, "check"),
                        shares,
                        number(a, "next"));
            }
            case "done" -> to.done(revision(a, "revision"));
            case "refused" -> to.refused(fault(text(a, "kind"), a.get("facts")));
            default -> throw new IllegalArgumentException("no answer '" + text(a, "a") + "'");
        }
    }

    private static Fault fault(String kind, JsonNode facts) {
        for (Class<? extends Fault> of : Fault.kinds()) {
            if (of.getSimpleName().equals(kind)) {
                RecordComponent[] parts = of.getRecordComponents();
                Class<?>[] types = new Class<?>[parts.length];
                Object[] values = new Object[parts.length];
                for (int i = 0; i < parts.length; i++) {
                    types[i] = parts[i].getType();
                    values[i] = types[i] == String.class
                            ? facts.get(i).textValue()
                            : types[i] == int.class
                                    ? (Object) facts.get(i).intValue()
                                    : (Object) facts.get(i).longValue();
                }
                try {
                    return of.getDeclaredConstructor(types).newInstance(values);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        throw new IllegalArgumentException("no fault '" + kind + "'");
    }
}
