package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A settings object read whole; absent and null are the same. */
final class Tree {
    private final Map<String, Object> fields;

    Tree(Map<String, Object> fields) {
        this.fields = fields;
    }

    static Tree read(JsonParser in) throws IOException {
        return new Tree(object(in));
    }

    private static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, value(in));
        }
        return map;
    }

    private static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return object(in);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                return list;
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    @SuppressWarnings("unchecked")
    Tree in(String name) {
        return fields.get(name) instanceof Map<?, ?> m ? new Tree((Map<String, Object>) m) : new Tree(Map.of());
    }

    @SuppressWarnings("unchecked")
    List<Tree> each(String name) {
        List<Tree> all = new ArrayList<>();
        if (fields.get(name) instanceof List<?> list) {
            list.forEach(o -> all.add(new Tree(o instanceof Map<?, ?> m ? (Map<String, Object>) m : Map.of())));
        }
        return all;
    }

    double at(String name, int index) {
        return fields.get(name) instanceof List<?> list && index < list.size()
                && list.get(index) instanceof Double d ? d : 0;
    }

    boolean yesAt(String name, int index) {
        return fields.get(name) instanceof List<?> list && index < list.size()
                && Boolean.TRUE.equals(list.get(index));
    }

    double number(String name, double absent) {
        return fields.get(name) instanceof Double d ? d : absent;
    }

    double needed(String name) {
        if (fields.get(name) instanceof Double d) {
            return d;
        }
        throw new BadInput("Params lacks the number " + name);
    }

    /** A time of the wire in our tenths of a millisecond, rounded down. */
    long time(String name) {
        return (long) Math.floor(number(name, 0) / 100);
    }

    String text(String name, String absent) {
        return fields.get(name) instanceof String s ? s : absent;
    }

    boolean yes(String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }
}
