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

/**
 * A JSON object of settings, read completely into memory. An absent field and a null are the same; a value of the wrong type
 * is refused with a {@link InvalidSettingException} that names its key.
 */
public final class SettingsObject {
    private final String path;
    private final Map<String, Object> fields;

    private SettingsObject(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /**
     * Reads the object whose start is the parser's current token.
     *
     * @param path the prefix of its keys in error messages, empty for the root
     */
    public static SettingsObject read(JsonParser in, String path) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new InvalidSettingException(path + " is not an object");
        }
        return new SettingsObject(path, parseObject(in));
    }

    private static Map<String, Object> parseObject(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, parseValue(in));
        }
        return map;
    }

    private static Object parseValue(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return parseObject(in);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(parseValue(in));
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

    private <T> T cast(Class<T> type, String what, Object value, String key) {
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        throw new InvalidSettingException(qualifiedKey(key) + " is not " + what);
    }

    private String qualifiedKey(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private <T> T require(T value, String what, String name) {
        if (value == null) {
            throw new InvalidSettingException(qualifiedKey(name) + " is missing: " + what + " is needed");
        }
        return value;
    }

    /** The object under a name, an empty one if it is absent. */
    @SuppressWarnings("unchecked")
    public SettingsObject child(String name) {
        Map<String, Object> inner = cast(Map.class, "an object", fields.get(name), name);
        return new SettingsObject(qualifiedKey(name), inner == null ? Map.of() : inner);
    }

    /** The objects of a list, none if the list is absent. */
    @SuppressWarnings("unchecked")
    public List<SettingsObject> children(String name) {
        List<SettingsObject> children = new ArrayList<>();
        List<Object> list = list(name);
        for (int i = 0; i < list.size(); i++) {
            String at = name + "[" + i + "]";
            children.add(new SettingsObject(
                    qualifiedKey(at), require(cast(Map.class, "an object", list.get(i), at), "an object", at)));
        }
        return children;
    }

    @SuppressWarnings("unchecked")
    private List<Object> list(String name) {
        List<Object> list = cast(List.class, "a list", fields.get(name), name);
        return list == null ? List.of() : list;
    }

    /** The strings of a list, none if the list is absent. */
    public List<String> strings(String name) {
        List<String> strings = new ArrayList<>();
        for (Object o : list(name)) {
            strings.add(require(cast(String.class, "a string", o, name), "a string", name));
        }
        return strings;
    }

    /** An element of a list of numbers, 0 if the element or the list is absent. */
    public double numberAt(String name, int index) {
        List<Object> list = list(name);
        Double d = index < list.size() ? cast(Double.class, "a list of numbers", list.get(index), name) : null;
        return d == null ? 0 : d;
    }

    /** An element of a list of booleans, false if the element or the list is absent. */
    public boolean isTrueAt(String name, int index) {
        List<Object> list = list(name);
        return index < list.size()
                && Boolean.TRUE.equals(cast(Boolean.class, "a list of booleans", list.get(index), name));
    }

    /** A number, or the default if it is absent. */
    public double number(String name, double defaultValue) {
        Double d = cast(Double.class, "a number", fields.get(name), name);
        return d == null ? defaultValue : d;
    }

    /** A number that must be present. */
    public double number(String name) {
        return require(cast(Double.class, "a number", fields.get(name), name), "a number", name);
    }

    /** An integer that must be present and within the bounds, both inclusive. */
    public int integer(String name, int min, int max) {
        double d = number(name);
        if (d != Math.rint(d) || d < min || d > max) {
            throw new InvalidSettingException(
                    qualifiedKey(name) + " is " + d + ": an integer from " + min + " to " + max + " is needed");
        }
        return (int) d;
    }

    /** A time in tenths of a millisecond, rounded down from the microseconds of the settings; 0 if it is absent. */
    public long timeTenthsMs(String name) {
        return (long) Math.floor(number(name, 0) / 100);
    }

    /** A string, or the default if it is absent. */
    public String string(String name, String defaultValue) {
        String s = cast(String.class, "a string", fields.get(name), name);
        return s == null ? defaultValue : s;
    }

    /** A string that must be present. */
    public String string(String name) {
        return require(cast(String.class, "a string", fields.get(name), name), "a string", name);
    }

    /** Refuses unknown keys, so that a misspelt key is not silently replaced by a default. */
    public void rejectUnknownKeys(String... names) {
        for (String name : fields.keySet()) {
            rejectUnknownKey(name, names);
        }
    }

    /** Refuses a key that is not among the known ones. */
    void rejectUnknownKey(String name, String... names) {
        if (!List.of(names).contains(name)) {
            throw new InvalidSettingException(
                    qualifiedKey(name) + " is unknown: known keys are " + String.join(", ", names));
        }
    }

    /** A copy in which the fields of the other replace these: nested objects are merged, all other values replaced. */
    public SettingsObject overriddenBy(SettingsObject other) {
        return new SettingsObject(other.path, merge(fields, other.fields));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> merge(Map<String, Object> base, Map<String, Object> overrides) {
        Map<String, Object> result = new LinkedHashMap<>(base);
        overrides.forEach((name, value) -> result.put(
                name,
                value instanceof Map && base.get(name) instanceof Map
                        ? merge((Map<String, Object>) base.get(name), (Map<String, Object>) value)
                        : value));
        return result;
    }

    /** Whether both have an equal value under this name, or neither has one. */
    public boolean hasSameValue(String name, SettingsObject other) {
        return Objects.equals(fields.get(name), other.fields.get(name));
    }

    public boolean equalTo(SettingsObject other) {
        return fields.equals(other.fields);
    }

    /** Refuses a string that is not among the words; it may be absent. */
    public void requireOneOf(String name, String... words) {
        String is = string(name, words[0]);
        if (!List.of(words).contains(is)) {
            throw new InvalidSettingException(
                    qualifiedKey(name) + " is '" + is + "': one of " + String.join(", ", words) + " is needed");
        }
    }

    /** Refuses a number below the minimum; it may be absent. */
    public void requireAtLeast(String name, double min) {
        double is = number(name, min);
        if (!(is >= min)) {
            throw new InvalidSettingException(qualifiedKey(name) + " is " + is + ": at least " + min + " is needed");
        }
    }

    /** The names of all fields, in the order of the file. */
    public Set<String> fieldNames() {
        return fields.keySet();
    }

    /** A numeric IP address and a port; host names are refused, so that nothing is resolved. */
    public InetSocketAddress address(String name) {
        return Config.parseAddress(qualifiedKey(name), string(name));
    }

    /** Whether there is a value other than null under this name. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** An integer within the bounds, both inclusive, or the default if it is absent. */
    public int integer(String name, int min, int max, int defaultValue) {
        return has(name) ? integer(name, min, max) : defaultValue;
    }

    /** Whether a boolean is present and true. */
    public boolean isTrue(String name) {
        return Boolean.TRUE.equals(cast(Boolean.class, "true or false", fields.get(name), name));
    }
}
