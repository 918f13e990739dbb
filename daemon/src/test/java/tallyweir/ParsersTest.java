package tallyweir;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import tallyweir.fastcgi.FastCgiReader;
import tallyweir.fastcgi.RequestFields;
import tallyweir.ids.JobId;
import tallyweir.ids.RequestId;
import tallyweir.kernel.Commands;
import tallyweir.kernel.NoticeReader;
import tallyweir.kernel.RunEnd;
import tallyweir.store.Calls;
import tallyweir.store.ReplyReader;

/** The parsers give the same events however the bytes are split, limit every length and report invalid input. */
class ParsersTest {
    private final List<String> out = new ArrayList<>();

    private static void split(byte[] bytes, long seed, Consumer<ByteBuffer> to) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int at = 0; at < bytes.length; ) {
            int take = Math.min(bytes.length - at, 1 + random.nextInt(random.nextInt(4) == 0 ? 400 : 9));
            to.accept(ByteBuffer.wrap(bytes, at, take));
            at += take;
        }
    }

    // ---- FastCGI

    private FastCgiReader reader(boolean answersAtOnce) {
        FastCgiReader[] reader = {null};
        reader[0] = new FastCgiReader(new FastCgiReader.Sink() {
            @Override
            public boolean onBegin(RequestId id) {
                return true;
            }

            @Override
            public void onRequest(RequestId id, RequestFields fields, byte[] body, boolean keep) {
                out.add("request " + id.value() + " " + fields.string(RequestFields.PATH) + " "
                        + new String(body, ISO_8859_1) + " " + keep);
                done(id);
            }

            @Override
            public void onRefused(RequestId id, FastCgiReader.Refusal reason, boolean keep) {
                out.add("refused " + id.value() + " " + reason);
                done(id);
            }

            @Override
            public void onAbort(RequestId id) {
                out.add("aborted " + id.value());
                done(id);
            }

            private void done(RequestId id) {
                if (answersAtOnce) {
                    reader[0].release(id);
                }
            }

            @Override
            public void onManagementReply(byte[] record) {
                out.add("reply " + record[1] + " "
                        + new String(record, 8, record.length - 8, ISO_8859_1).replace("\0", ""));
            }

            @Override
            public void onInvalidStream(String reason) {
                out.add("bad " + reason);
            }
        });
        return reader[0];
    }

    private List<String> parseRequests(byte[]... parts) {
        out.clear();
        split(Model.join(parts), 5, reader(true)::read);
        return List.copyOf(out);
    }

    @Property(tries = 200, seed = "7", shrinking = ShrinkingMode.OFF)
    void requestsAreCompleteHoweverTheInputIsSplit(@ForAll long seed, @ForAll boolean longLengths) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> expected = new ArrayList<>();
        byte[] stream = {};
        for (int i = 0; i < 5; i++) {
            int id = 1 + random.nextInt(0xffff);
            String body = "b".repeat(random.nextInt(3) == 0 ? 0 : random.nextInt(FastCgiReader.MAX_BODY_BYTES + 1));
            stream = Model.join(
                    stream,
                    Model.request(
                            id,
                            body.getBytes(ISO_8859_1),
                            longLengths,
                            random.nextInt(256),
                            "SCRIPT_NAME",
                            "/do/x" + i,
                            "OTHER",
                            "o".repeat(random.nextInt(300))));
            expected.add("request " + id + " /do/x" + i + " " + body + " true");
        }
        FastCgiReader reader = reader(true);
        out.clear();
        split(stream, seed, reader::read);
        assertEquals(expected, out);
        assertEquals(0, reader.openCount());
        assertTrue(reader.betweenRecords());
    }

    /**
     * Each field of a head was copied and kept in a map, so that hundreds of clients with heads of thousands of short
     * fields delayed the answers of all others by seconds.
     */
    @Test
    void unusedFieldsAreSkippedWithoutACopy() {
        String[] fields = new String[2 * 2_000];
        for (int i = 0; i < fields.length; i += 2) {
            fields[i] = Character.toString(i % 128) + (char) (i / 128);
            fields[i + 1] = "";
        }
        byte[] request = Model.request(1, new byte[0], false, 0, fields);
        FastCgiReader reader = reader(true);
        reader.read(ByteBuffer.wrap(request)); // loads the classes
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        reader.read(ByteBuffer.wrap(request));
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(allocated < 8L * request.length, allocated + " bytes for a request of " + request.length);
        assertEquals(2, out.size());
    }

    @Property(tries = 300, seed = "11", shrinking = ShrinkingMode.OFF)
    void corruptStreamsThrowNothingAndStayWithinLimits(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] stream = {};
        for (int i = 0; i < 6; i++) {
            stream = Model.join(
                    stream,
                    Model.request(
                            1 + random.nextInt(3),
                            new byte[random.nextInt(3_000)],
                            i % 2 == 0,
                            i,
                            "SCRIPT_NAME",
                            "/do/x",
                            "O",
                            "o".repeat(random.nextInt(9_000))));
        }
        for (int i = random.nextInt(12); i > 0; i--) {
            stream[random.nextInt(stream.length)] = (byte) random.nextInt();
        }
        FastCgiReader reader = reader(random.nextInt(2) == 0);
        out.clear();
        split(stream, seed, reader::read);
        assertTrue(reader.openCount() <= FastCgiReader.MAX_OPEN_REQUESTS);
        assertTrue(
                out.stream().filter(o -> o.startsWith("bad")).count() <= 1,
                "no further event after the stream is invalid");
    }

    @Test
    void requestsOnOneConnectionMayBeInterleavedAndAborted() {
        byte[] a = Model.request(1, "one".getBytes(UTF_8), false, 3, "SCRIPT_NAME", "/do/a");
        byte[] b = Model.request(2, "two".getBytes(UTF_8), false, 0, "SCRIPT_NAME", "/do/b");
        byte[] begun = Arrays.copyOf(a, 19);
        assertEquals(
                List.of("request 2 /do/b two true", "request 1 /do/a one true"),
                parseRequests(begun, b, Arrays.copyOfRange(a, 19, a.length)));
        assertEquals(
                List.of("aborted 1", "request 1 /do/a one true"),
                parseRequests(begun, Model.record(2, 1, 0, new byte[0]), Model.record(5, 1, 0, new byte[9]), a));
    }

    @Test
    void oversizedAndInvalidRequestsAreRefusedOnceAndTheNextIsRead() {
        byte[] next = Model.request(1, "x".getBytes(UTF_8), false, 0, "SCRIPT_NAME", "/do/a");
        String accepted = "request 1 /do/a x true";
        assertEquals(
                List.of("refused 1 TOO_BIG", accepted),
                parseRequests(
                        Model.request(1, new byte[FastCgiReader.MAX_BODY_BYTES + 1], false, 9, "SCRIPT_NAME", "/do/a"),
                        next));
        assertEquals(
                List.of("refused 1 TOO_BIG", accepted),
                parseRequests(
                        Model.request(1, new byte[0], true, 0, "A", "a".repeat(FastCgiReader.MAX_PARAMS_BYTES)), next));
        byte[] begin = Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        assertEquals(
                List.of("refused 1 PARAMS", accepted),
                parseRequests(
                        begin,
                        Model.record(4, 1, 0, new byte[] {9, 9, 1}),
                        Model.record(4, 1, 0, new byte[0]),
                        Model.record(5, 1, 0, new byte[0]),
                        next));
        assertEquals(
                List.of("refused 1 PARAMS", accepted), parseRequests(begin, Model.record(5, 1, 0, new byte[0]), next));
        assertEquals(
                List.of("refused 1 ROLE", accepted),
                parseRequests(Model.record(1, 1, 0, new byte[] {0, 2, 1, 0, 0, 0, 0, 0}), next));
    }

    /**
     * A refused request with an endless body once kept its connection open for ever. 60 MB of such a body are skipped without
     * being retained; beyond the limit the stream is invalid.
     */
    @Test
    void bytesOfNoRequestAreSkippedUpToALimit() {
        FastCgiReader reader = reader(true);
        byte[] chunk = Model.record(5, 1, 0, new byte[60_000]);
        reader.read(ByteBuffer.wrap(Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
        for (int i = 0; i < 1_000; i++) {
            reader.read(ByteBuffer.wrap(chunk));
        }
        reader.read(ByteBuffer.wrap(Model.request(1, new byte[0], false, 0, "SCRIPT_NAME", "/do/a")));
        assertEquals(List.of("refused 1 TOO_BIG", "request 1 /do/a  true"), out);
        for (int i = 0; i < 1_200; i++) {
            reader.read(ByteBuffer.wrap(chunk));
        }
        assertEquals(3, out.size());
        assertTrue(out.get(2).startsWith("bad over"), out.get(2));
    }

    @Test
    void openRequestsOfAConnectionAreLimited() {
        FastCgiReader reader = reader(false);
        for (int id = 1; id <= FastCgiReader.MAX_OPEN_REQUESTS + 1; id++) {
            reader.read(ByteBuffer.wrap(Model.record(1, id, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0})));
        }
        assertEquals(List.of("refused " + (FastCgiReader.MAX_OPEN_REQUESTS + 1) + " OVERLOADED"), out);
    }

    @Test
    void managementRecordsAreAnswered() {
        assertEquals(
                List.of("reply 10 \17\1FCGI_MPXS_CONNS1", "reply 11 \115"),
                parseRequests(
                        Model.record(9, 0, 1, Model.pair("FCGI_MPXS_CONNS", "", false)),
                        Model.record(77, 0, 0, new byte[0])));
    }

    @Test
    void invalidRecordEndsTheStream() {
        byte[] begin = Model.record(1, 1, 0, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        byte[] version = begin.clone();
        version[0] = 2;
        assertEquals(List.of("bad a record of version 2"), parseRequests(version, begin, begin));
        assertEquals(List.of("bad request 1 begins while it is open"), parseRequests(begin, begin, begin));
        assertEquals(List.of("bad a begin record of 7 bytes"), parseRequests(Model.record(1, 1, 0, new byte[7])));
        assertEquals(1, parseRequests(Model.record(9, 0, 0, new byte[] {50})).size());
        assertEquals(1, parseRequests(Model.record(9, 0, 0, new byte[2_000])).size());
        assertEquals(1, parseRequests(Model.record(4, 0, 0, new byte[2])).size());
    }

    // ---- the kernel

    private final NoticeReader notices = new NoticeReader(new NoticeReader.Sink() {
        @Override
        public void onBooted(boolean coldStart, long uptime) {
            out.add("booted " + coldStart + " " + uptime);
        }

        @Override
        public void onRunEnded(long n, JobId job, RunEnd end, byte[] result) {
            out.add("ended " + n + " " + job.value() + " " + end + " " + new String(result, UTF_8));
        }

        @Override
        public void onCall(long n, JobId job, byte[] body) {
            out.add("needs " + n + " " + job.value() + " " + new String(body, UTF_8));
        }

        @Override
        public void onGauges(String tag, double[] values) {
            out.add("gauges " + tag + " " + Arrays.toString(values));
        }

        @Override
        public void onCommandFailed(String command, JobId job) {
            out.add("not done " + command + " " + job.value());
        }

        @Override
        public void onMessage(long n, String text) {
            out.add("remark " + n);
        }

        @Override
        public void onUnknownNotice(String reason) {
            out.add("unknown");
        }

        @Override
        public void onInvalidStream(String reason) {
            out.add("bad");
        }
    });

    @Property(tries = 20, seed = "3", shrinking = ShrinkingMode.OFF)
    void noticesAreReadHoweverTheInputIsSplit(@ForAll long seed) {
        String result = Base64.getEncoder().encodeToString("made".getBytes(UTF_8));
        String lines = "{\"type\":\"BOOTED\",\"state\":\"new\",\"took\":12.34}\n"
                + "{\"n\":1,\"new\":[{}],\"type\":\"REAP\",\"job\":\"j\",\"state\":\"good\",\"took\":3,\"data\":\""
                + result + "\"}\r\n"
                + "{\"type\":\"IOREQ\",\"n\":2,\"job\":\"k\",\"data\":\"" + result + "\"}\n"
                + "{\"type\":\"INFO\",\"ref\":\"t\",\"gauges\":[0.5,3,1e-1]}\n"
                + "{\"type\":\"EINVAL\",\"state\":\"SCHED\",\"job\":\"j\"}\n{\"type\":\"DMESG\",\"n\":3,\"state\":\"x\"}\n"
                + "\n[]\n{\"type\":\n{\"type\":\"REAP\",\"data\":\"*\"}\n{\"type\":\"LATER\"}\n{\"type\":\"INFO\",\"gauges\":1}\n";
        out.clear();
        split(lines.getBytes(UTF_8), seed, notices::read);
        assertEquals(
                List.of(
                        "booted true 124",
                        "ended 1 j GOOD made",
                        "needs 2 k made",
                        "gauges t [0.5, 3.0, 0.1]",
                        "not done SCHED j",
                        "remark 3",
                        "unknown",
                        "unknown",
                        "unknown",
                        "unknown",
                        "unknown",
                        "unknown"),
                out);
    }

    @Test
    void endlessLineIsReportedOnce() {
        for (int i = 0; i < 40; i++) {
            notices.read(ByteBuffer.wrap(new byte[5_000]));
        }
        assertEquals(List.of("bad"), out);
    }

    @Test
    void commandsAreOneJsonLineEach() {
        assertEquals("{\"type\":\"OPEN\",\"n\":7}\n", new String(Commands.open(7), UTF_8));
        assertEquals(
                "{\"type\":\"SCHED\",\"job\":\"a1\",\"kind\":\"c\\\"\",\"data\":\"/wA=\"}\n",
                new String(Commands.run(new JobId("a1"), "c\"", new byte[] {-1, 0}), UTF_8));
        assertEquals(
                "{\"type\":\"IODONE\",\"job\":\"a1\",\"data\":\"\"}\n",
                new String(Commands.reply(new JobId("a1"), new byte[0]), UTF_8));
    }

    // ---- the store

    private ReplyReader replies() {
        return new ReplyReader(new ReplyReader.Sink() {
            @Override
            public void onReply(JobId job, String word, byte[] body) {
                out.add(job.value() + " " + word + " " + new String(body, ISO_8859_1));
            }

            @Override
            public void onInvalidStream(String reason) {
                out.add("bad");
            }
        });
    }

    @Property(tries = 20, seed = "5", shrinking = ShrinkingMode.OFF)
    void repliesAreReadHoweverTheInputIsSplit(@ForAll long seed) {
        out.clear();
        split(
                "a1 OK 5\r\nx\r\ny \r\nb BUSY\r\na1 OK 0\r\n\r\nc VOID\r\nd ERR\r\ne LATE\r\nf WHAT\r\ng BUSY\r\n"
                        .getBytes(UTF_8),
                seed,
                replies()::read);
        assertEquals(List.of("a1 OK x\r\ny ", "b BUSY ", "a1 OK ", "c VOID ", "d ERR ", "e LATE ", "bad"), out);
    }

    @Test
    void oversizedAndUnterminatedRepliesAreReportedOnce() {
        ReplyReader replies = replies();
        replies.read(ByteBuffer.wrap("a OK 3\r\nabcde".getBytes(UTF_8)));
        replies.read(ByteBuffer.wrap("b BUSY\r\n".getBytes(UTF_8)));
        assertEquals(List.of("bad"), out);
        for (String line : new String[] {
            "a OK 99999999999\r\n",
            "a OK 65537\r\n",
            "a OK x\r\n",
            "a OK \r\n",
            "a OK 1\n",
            " BUSY\r\n",
            "BUSY\r\n",
            "a BUSY\n",
            "\r\n"
        }) {
            out.clear();
            replies().read(ByteBuffer.wrap(line.getBytes(UTF_8)));
            assertEquals(List.of("bad"), out, line);
        }
        assertArrayEquals(
                "CALL a1 250 2\r\n\r\n\r\n".getBytes(UTF_8), Calls.call(new JobId("a1"), 250, new byte[] {13, 10}));
    }
}
