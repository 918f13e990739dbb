package tallyweir.fleet.ratis;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.SnapshotPart;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Value;

/** Messages survive an encode/decode round trip unchanged, and malformed ones are rejected. */
class CodecTest {
    private static final int MAX_IDLE_REPORT_BYTES = 200;

    private final CommandCodec commands = new CommandCodec();
    private final AnswerCodec answers = new AnswerCodec();
    private final ReadRequestCodec requests = new ReadRequestCodec();
    private final ReadResponseCodec responses = new ReadResponseCodec();
    private final SnapshotPartCodec parts = new SnapshotPartCodec();

    @Provide
    Arbitrary<Command> anyCommand() {
        return RecordArbitraries.of(Command.class);
    }

    @Provide
    Arbitrary<Answer> anyAnswer() {
        return RecordArbitraries.of(Answer.class);
    }

    @Provide
    Arbitrary<ReadRequest> anyQuestion() {
        return RecordArbitraries.of(ReadRequest.class);
    }

    @Provide
    Arbitrary<ReadResponse> anyReply() {
        return RecordArbitraries.of(ReadResponse.class);
    }

    @Provide
    Arbitrary<SnapshotPart> anyPart() {
        return RecordArbitraries.of(SnapshotPart.class);
    }

    @Provide
    Arbitrary<Fault> anyFault() {
        return RecordArbitraries.of(Fault.class);
    }

    @Property(tries = 300, seed = "21")
    void everyCommandIsTheSameOnceDecoded(@ForAll("anyCommand") Command command) throws MalformedMessageException {
        assertEquals(command, commands.decode(commands.encode(command)));
    }

    @Property(tries = 300, seed = "22")
    void everyAnswerIsTheSameOnceDecoded(@ForAll("anyAnswer") Answer answer) throws MalformedMessageException {
        assertEquals(answer, answers.decode(answers.encode(answer)));
    }

    /** Compares responses by their encoding, since records with a byte array are equal only if the array is the same object. */
    @Property(tries = 300, seed = "23")
    void everyQuestionAndReplyIsTheSameOnceDecoded(
            @ForAll("anyQuestion") ReadRequest request, @ForAll("anyReply") ReadResponse response)
            throws MalformedMessageException {
        assertEquals(request, requests.decode(requests.encode(request)));
        byte[] bytes = responses.encode(response);
        assertArrayEquals(bytes, responses.encode(responses.decode(bytes)));
    }

    @Property(tries = 300, seed = "24")
    void everySnapshotPartIsTheSameOnceDecoded(@ForAll("anyPart") SnapshotPart part) throws MalformedMessageException {
        assertEquals(part, parts.decode(parts.encode(part)));
    }

    @Property(seed = "25")
    void everyFaultIsTheSameOnceDecoded(@ForAll("anyFault") Fault fault) throws MalformedMessageException {
        Answer refused = new Answer.Refused(fault);
        assertEquals(refused, answers.decode(answers.encode(refused)));
    }

    /** Covers each record explicitly, since random generation may miss one. */
    @Example
    void everyRecordOfEachTypeIsTheSameOnceDecoded() throws MalformedMessageException {
        for (Class<?> type : RecordArbitraries.records(Command.class)) {
            Command command = (Command) RecordArbitraries.of(type).sample();
            assertEquals(command, commands.decode(commands.encode(command)), type.getName());
        }
        for (Class<?> type : RecordArbitraries.records(Answer.class)) {
            Answer answer = (Answer) RecordArbitraries.of(type).sample();
            assertEquals(answer, answers.decode(answers.encode(answer)), type.getName());
        }
        for (Class<?> type : RecordArbitraries.records(SnapshotPart.class)) {
            SnapshotPart part = (SnapshotPart) RecordArbitraries.of(type).sample();
            assertEquals(part, parts.decode(parts.encode(part)), type.getName());
        }
        for (Class<? extends Fault> kind : Fault.kinds()) {
            Answer refused = new Answer.Refused(RecordArbitraries.of(kind).sample());
            assertEquals(refused, answers.decode(answers.encode(refused)), kind.getName());
        }
    }

    @Example
    void everyFaultHasAName() {
        assertEquals(
                Set.copyOf(RecordArbitraries.records(Fault.class)), Set.copyOf(Fault.kinds()), "kinds() lists all");
        assertEquals(
                "BodyFaulty CannotTake DigestMismatch EntryFaulty KeyConflict LogDamaged LogFull LostRace NameTaken "
                        + "NoLeader NoPlace NoSuchRevision NotFounded NotYet OutcomeUnknown QueueFull ShutOut Stranger "
                        + "UnknownRoot",
                Fault.kinds().stream().map(Class::getSimpleName).collect(Collectors.toCollection(TreeSet::new)).stream()
                        .collect(Collectors.joining(" ")),
                "the names are stored in logs and snapshots on disk");
    }

    /** Rejects each proper prefix of a message, the empty one included, and a message followed by another byte. */
    @Property(tries = 50, seed = "26")
    void truncatedOrExtendedMessagesAreRejected(@ForAll("anyCommand") Command command) {
        byte[] complete = commands.encode(command);
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(MalformedMessageException.class, () -> commands.decode(truncated));
        }
        byte[] extended = Arrays.copyOf(complete, complete.length + 1);
        assertThrows(MalformedMessageException.class, () -> commands.decode(extended));
    }

    /** Jackson reads an unpaired surrogate but does not write it, so the message would have no valid encoding. */
    @Example
    void anUnpairedSurrogateIsRejected() {
        byte[] bytes = commands.encode(new Command.Leave(new ServerId("\u0800"), new Incarnation(1)));
        int at = 0;
        while (bytes[at] != (byte) 0xE0) { // the first byte of U+0800 in UTF-8
            at++;
        }
        bytes[at] = (byte) 0xED;
        bytes[at + 1] = (byte) 0xA6; // now U+D980
        assertThrows(MalformedMessageException.class, () -> commands.decode(bytes));
    }

    /** A damaged message is either rejected or decodes to another valid message; no other exception is thrown. */
    @Property(seed = "27")
    void damageThrowsNoOtherException(@ForAll("anyCommand") Command command, @ForAll int place, @ForAll byte damage) {
        byte[] bytes = commands.encode(command);
        bytes[Math.floorMod(place, bytes.length)] = damage;
        Optional<Command> decoded;
        try {
            decoded = Optional.of(commands.decode(bytes));
        } catch (MalformedMessageException e) {
            decoded = Optional.empty();
        }
        decoded.ifPresent(commands::encode);
    }

    @Property(seed = "28")
    void randomBytesThrowNoOtherException(@ForAll byte[] bytes) {
        try {
            commands.encode(commands.decode(bytes));
        } catch (MalformedMessageException e) {
            assertTrue(e.getMessage().startsWith("not a Command"), e.getMessage());
        }
    }

    /** An array of one component, encoded as a record is. */
    record One(Object first) {}

    /** An array of two components. */
    record Two(Object first, Object second) {}

    /** An array of three components. */
    record Three(Object first, Object second, Object third) {}

    @Example
    void unknownNamesAndWrongComponentsAreRejected() throws Exception {
        var mapper = FleetMapper.create();
        byte[] right = mapper.writeValueAsBytes(new Two("leave", new Two("s", 1)));
        assertEquals(new Command.Leave(new ServerId("s"), new Incarnation(1)), commands.decode(right));
        for (Object wrong : List.of(
                new Two("erase", new Two("s", 1)),
                new Two("leave", new One("s")),
                new Two("leave", new Three("s", 1, 2)),
                new Two("leave", new Two(1, 1)),
                new Two("leave", new Two("s", "1")),
                new Two("leave", new Two("s", 1.0)),
                new Two("leave", new Two("s", null)),
                new Two("leave", List.of("s", 1)),
                new Three("leave", new Two("s", 1), 1),
                Map.of("leave", new Two("s", 1)),
                new One("leave"),
                "leave")) {
            byte[] bytes = mapper.writeValueAsBytes(wrong);
            assertThrows(MalformedMessageException.class, () -> commands.decode(bytes), wrong::toString);
        }
    }

    @Example
    void aReportWithoutNewsIsSmall() {
        Command report = new Command.Report(
                new ServerId("server-0123.example"),
                new Incarnation(1_000_000),
                10_000_000,
                new RevisionId(1_000_000),
                Digest.of("table"),
                1_000,
                new RevisionId(1_000_000),
                "",
                1_000_000_000,
                1_000_000,
                Map.of());
        int bytes = commands.encode(report).length;
        assertTrue(bytes < MAX_IDLE_REPORT_BYTES, () -> bytes + " bytes");
    }

    @Example
    void aChangeOfOneEntryOfManyIsSmall() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            changes.add(new Change(
                    new Key(Kind.CAP, "tenant-" + (100_000 + i)),
                    Optional.of(new Value.Cap(10)),
                    Optional.of(new Value.Cap(20))));
        }
        Command command = new Command.ChangeEntries(new OperatorCommandId("c"), changes, "ann", "more", false);
        assertTrue(commands.encode(command).length < 30 * changes.size());
    }
}
