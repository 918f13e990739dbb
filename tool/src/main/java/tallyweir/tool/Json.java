package tallyweir.tool;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/** Maps, lists, numbers and texts as JSON, in their order. */
final class Json {
    private Json() {}

    static String line(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            write(out, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.writeFieldName(e.getKey().toString());
                write(out, e.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof Iterable<?> list) {
            out.writeStartArray();
            for (Object o : list) {
                write(out, o);
            }
            out.writeEndArray();
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value instanceof Double d) {
            out.writeNumber(d);
        } else if (value instanceof Number n) {
            out.writeNumber(n.longValue());
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(value.toString());
        }
    }
}
