package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tallyweir.config.InvalidSettingException;

/**
 * Hosts any number of instances of the decisions behind a line protocol: reads batches of events, one JSON object per line,
 * passes each event to its instance and writes one reply per batch.
 */
public final class WireHost {
    private final JsonFactory jsonFactory = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxStringLength(1 << 24).build())
            .build();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 16);
    private final Event event = new Event();

    private WireHost() {}

    /** Serves until the input ends; the exit code is 0 then, and 1 after an invalid batch or a failure of input or output. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) {
        WireHost host = new WireHost();
        LineReader lines = new LineReader(new BufferedInputStream(in, 1 << 16));
        long lineNumber = 0;
        try {
            while (lines.readLine()) {
                lineNumber++;
                if (lines.isBlank()) {
                    continue;
                }
                host.buffer.reset();
                host.handleBatch(lines.bytes(), lines.length());
                host.buffer.write('\n');
                host.buffer.writeTo(out);
                out.flush();
            }
            return 0;
        } catch (InvalidBatchException | InvalidSettingException e) {
            err.println("tallyweir: line " + lineNumber + ": " + e.getMessage());
        } catch (JsonProcessingException e) {
            err.println("tallyweir: line " + lineNumber + ": not a valid batch: " + e.getOriginalMessage());
        } catch (IOException e) {
            err.println("tallyweir: " + e.getMessage());
        }
        return 1;
    }

    private void handleBatch(byte[] line, int length) throws IOException {
        try (JsonParser in = jsonFactory.createParser(line, 0, length);
                JsonGenerator reply = jsonFactory.createGenerator(buffer)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidBatchException("a batch must be an object");
            }
            reply.writeStartObject();
            reply.writeArrayFieldStart("groups");
            long wallUs = -1;
            boolean hasGroups = false;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("WallUs") && value == JsonToken.VALUE_NUMBER_INT) {
                    wallUs = in.getLongValue();
                } else if (name.equals("groups") && value == JsonToken.START_ARRAY) {
                    hasGroups = true;
                    if (wallUs < 0) {
                        wallUs = findWallUs(line, length);
                    }
                    handleGroups(in, reply, wallUs);
                } else {
                    in.skipChildren();
                }
            }
            if (wallUs < 0) {
                throw new InvalidBatchException("the batch lacks the time WallUs");
            }
            if (!hasGroups) {
                throw new InvalidBatchException("the batch lacks the array groups");
            }
            if (in.nextToken() != null) {
                throw new InvalidBatchException("unexpected text after the batch");
            }
            reply.writeEndArray();
            reply.writeEndObject();
        }
    }

    /** The time of a batch in which WallUs comes after the groups: scans the line for it before the groups are parsed. */
    private long findWallUs(byte[] line, int length) throws IOException {
        try (JsonParser in = jsonFactory.createParser(line, 0, length)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                if (in.currentName().equals("WallUs") && in.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                    return in.getLongValue();
                }
                in.nextToken();
                in.skipChildren();
            }
        }
        throw new InvalidBatchException("the batch lacks the time WallUs");
    }

    private void handleGroups(JsonParser in, JsonGenerator reply, long wallUs) throws IOException {
        Set<Integer> seen = new HashSet<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw new InvalidBatchException("an entry of groups is not an object");
            }
            Instance instance = null;
            boolean hasEvents = false;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("Backend") && value == JsonToken.VALUE_NUMBER_INT) {
                    int backend = in.getIntValue();
                    if (!seen.add(backend)) {
                        throw new InvalidBatchException("Backend " + backend + " occurs twice in groups");
                    }
                    instance = instances.computeIfAbsent(backend, Instance::new);
                } else if (name.equals("news") && value == JsonToken.START_ARRAY) {
                    if (instance == null) {
                        throw new InvalidBatchException("an entry of groups lacks Backend before its news");
                    }
                    hasEvents = true;
                    instance.beginReply(reply);
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        if (in.currentToken() != JsonToken.START_OBJECT) {
                            throw new InvalidBatchException("an entry of news is not an object");
                        }
                        event.read(in);
                        dispatch(instance, wallUs);
                    }
                    instance.endReply();
                } else {
                    in.skipChildren();
                }
            }
            if (instance == null) {
                throw new InvalidBatchException("an entry of groups lacks the number Backend");
            }
            if (!hasEvents) {
                throw new InvalidBatchException("an entry of groups lacks the array news");
            }
        }
    }

    private void dispatch(Instance instance, long wallUs) {
        try {
            event.dispatch(instance, wallUs);
        } catch (InvalidBatchException | InvalidSettingException e) {
            throw e;
        } catch (RuntimeException e) {
            instance.reportFault(e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
    }
}
