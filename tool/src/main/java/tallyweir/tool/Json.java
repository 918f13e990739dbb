package tallyweir.tool;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
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

    /** A line of figures: as JSON, or its name with names and numbers behind it. */
    static void figures(PrintWriter out, boolean json, String what, Map<String, Object> figures) {
        if (json) {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("what", what);
            all.putAll(figures);
            out.println(line(all));
        } else {
            StringBuilder line = new StringBuilder(what);
            figures.forEach((k, v) -> line.append("  ").append(k).append(' ').append(v));
            out.println(line);
        }
        out.flush();
    }

    /** To three places. */
    static double round(double d) {
        return Math.round(d * 1_000) / 1_000.0;
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
