package tallyweir.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** An object of settings read whole. Absent and null are the same; what has another type is named and refused. */
public final class Tree {
    private final String path;
    private final Map<String, Object> fields;

    private Tree(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /** Reads the object at whose start the parser stands; messages name its keys below the path. */
    public static Tree read(JsonParser in, String path) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new BadSetting(path + " is not an object");
        }
        return new Tree(path, object(in));
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

    private <T> T as(Class<T> type, String what, Object value, String key) {
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        throw new BadSetting(key(key) + " is not " + what);
    }

    private String key(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private <T> T needed(T value, String what, String name) {
        if (value == null) {
            throw new BadSetting(key(name) + " is missing: " + what + " is needed");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    public Tree in(String name) {
        Map<String, Object> inner = as(Map.class, "an object", fields.get(name), name);
        return new Tree(key(name), inner == null ? Map.of() : inner);
    }

    @SuppressWarnings("unchecked")
    public List<Tree> each(String name) {
        List<Tree> all = new ArrayList<>();
        List<Object> list = list(name);
        for (int i = 0; i < list.size(); i++) {
            String at = name + "[" + i + "]";
            all.add(new Tree(key(at), needed(as(Map.class, "an object", list.get(i), at), "an object", at)));
        }
        return all;
    }

    @SuppressWarnings("unchecked")
    private List<Object> list(String name) {
        List<Object> list = as(List.class, "a list", fields.get(name), name);
        return list == null ? List.of() : list;
    }

    public List<String> texts(String name) {
        List<String> all = new ArrayList<>();
        for (Object o : list(name)) {
            all.add(needed(as(String.class, "a text", o, name), "a text", name));
        }
        return all;
    }

    public double numberAt(String name, int index) {
        List<Object> list = list(name);
        Double d = index < list.size() ? as(Double.class, "a list of numbers", list.get(index), name) : null;
        return d == null ? 0 : d;
    }

    public boolean yesAt(String name, int index) {
        List<Object> list = list(name);
        return index < list.size()
                && Boolean.TRUE.equals(as(Boolean.class, "a list of yes or no", list.get(index), name));
    }

    public double number(String name, double absent) {
        Double d = as(Double.class, "a number", fields.get(name), name);
        return d == null ? absent : d;
    }

    public double number(String name) {
        return needed(as(Double.class, "a number", fields.get(name), name), "a number", name);
    }

    /** A whole number that has to lie between the two. */
    public int whole(String name, int least, int most) {
        double d = number(name);
        if (d != Math.rint(d) || d < least || d > most) {
            throw new BadSetting(
                    key(name) + " is " + d + ": a whole number from " + least + " to " + most + " is needed");
        }
        return (int) d;
    }

    /** A time of the settings, in microseconds there, in tenths of a millisecond here, rounded down. */
    public long time(String name) {
        return (long) Math.floor(number(name, 0) / 100);
    }

    public String text(String name, String absent) {
        String s = as(String.class, "a text", fields.get(name), name);
        return s == null ? absent : s;
    }

    public String text(String name) {
        return needed(as(String.class, "a text", fields.get(name), name), "a text", name);
    }

    /** Refuses keys that mean nothing here, so that a slip of the pen is not taken for a default. */
    public void only(String... names) {
        for (String name : fields.keySet()) {
            onlyKnown(name, names);
        }
    }

    /** Refuses a key that is none of those that mean something here. */
    void onlyKnown(String name, String... names) {
        if (!List.of(names).contains(name)) {
            throw new BadSetting(key(name) + " is unknown here: known are " + String.join(", ", names));
        }
    }

    /** These fields with those of the other over them: objects key by key, all else whole. */
    public Tree under(Tree other) {
        return new Tree(other.path, merged(fields, other.fields));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> merged(Map<String, Object> under, Map<String, Object> over) {
        Map<String, Object> all = new LinkedHashMap<>(under);
        over.forEach((name, value) -> all.put(
                name,
                value instanceof Map && under.get(name) instanceof Map
                        ? merged((Map<String, Object>) under.get(name), (Map<String, Object>) value)
                        : value));
        return all;
    }

    /** Whether both have the same under this name, or neither anything. */
    public boolean same(String name, Tree other) {
        return Objects.equals(fields.get(name), other.fields.get(name));
    }

    public boolean equalTo(Tree other) {
        return fields.equals(other.fields);
    }

    /** One of the words, or absent. */
    public void word(String name, String... words) {
        String is = text(name, words[0]);
        if (!List.of(words).contains(is)) {
            throw new BadSetting(key(name) + " is '" + is + "': one of " + String.join(", ", words) + " is needed");
        }
    }

    /** A number that is not below the least, or absent. */
    public void least(String name, double least) {
        double is = number(name, least);
        if (!(is >= least)) {
            throw new BadSetting(key(name) + " is " + is + ": at least " + least + " is needed");
        }
    }

    /** The names of all fields. */
    public Set<String> names() {
        return fields.keySet();
    }

    /** An address of numbers and a port: no name is looked up anywhere. */
    public InetSocketAddress address(String name) {
        return Config.address(key(name), text(name));
    }

    /** Whether there is an object of this name. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** A whole number that has to lie between the two, or is absent. */
    public int whole(String name, int least, int most, int absent) {
        return has(name) ? whole(name, least, most) : absent;
    }

    public boolean yes(String name) {
        return Boolean.TRUE.equals(as(Boolean.class, "true or false", fields.get(name), name));
    }
}
