package tallyweir.fastcgi;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The FastCGI parameters of a request that the server uses; all others are ignored. */
public final class RequestFields {
    public static final String ID = "HTTP_REQUEST_ID";
    /** When the query was received, in milliseconds of wall-clock time. */
    public static final String RECEIVED_AT = "HTTP_RECEIVED_AT";

    public static final String CALLER = "HTTP_SENT_BY";
    public static final String TENANT = "HTTP_ACCOUNT";
    /** How long the caller waits after the query was received, in milliseconds. */
    public static final String TIMEOUT_MS = "HTTP_BUDGET_MS";
    /** 1 if the query is a retry. */
    public static final String RETRY = "HTTP_ATTEMPT_AGAIN";
    /** The memory that a run of the query needs, in kilobytes. */
    public static final String SIZE_KB = "HTTP_FOOTPRINT_KB";
    /** The priority of the query, at least 0 and less than 1. */
    public static final String RANK = "HTTP_PRIORITY_RANK";
    /** The resource that the query concerns. */
    public static final String SUBJECT = "HTTP_RESOURCE_KEY";
    /** The idempotency key of a stamped query. */
    public static final String IDEMPOTENCY_KEY = "HTTP_ONCE_KEY";

    public static final String PATH = "SCRIPT_NAME";
    public static final String METHOD = "REQUEST_METHOD";
    private static final Set<String> USED_NAMES = Set.of(
            ID, RECEIVED_AT, CALLER, TENANT, TIMEOUT_MS, RETRY, SIZE_KB, RANK, SUBJECT, IDEMPOTENCY_KEY, PATH, METHOD);
    private static final int MAX_VALUE_LENGTH = 256;

    private final Map<String, String> values = new HashMap<>();

    /** The names in use, by their length and as they are sent. */
    private static final Map<Integer, Map<String, byte[]>> USED_NAMES_BY_LENGTH = USED_NAMES.stream()
            .collect(Collectors.groupingBy(
                    String::length, Collectors.toMap(name -> name, name -> name.getBytes(ISO_8859_1))));

    /** Receives the position of each name-value pair. */
    private interface PairConsumer {
        void accept(int nameFrom, int valueFrom, int end);
    }

    /**
     * Pairs with other names are skipped without a copy: a head may hold thousands of them.
     *
     * @throws IllegalArgumentException if the pairs cannot be parsed, or a value is too long
     */
    RequestFields(byte[] params) {
        forEachPair(params, (nameFrom, valueFrom, end) -> {
            String name = usedName(params, nameFrom, valueFrom);
            if (name != null) {
                values.put(name, new String(params, valueFrom, end - valueFrom, ISO_8859_1));
            }
        });
        values.forEach((name, value) -> {
            if (value.length() > MAX_VALUE_LENGTH) {
                throw new IllegalArgumentException(name + " is too long");
            }
        });
    }

    /** The name that stands there, null if it is none of those in use. */
    private static String usedName(byte[] params, int from, int to) {
        Map<String, byte[]> candidates = USED_NAMES_BY_LENGTH.get(to - from);
        if (candidates != null) {
            for (Map.Entry<String, byte[]> candidate : candidates.entrySet()) {
                if (Arrays.equals(params, from, to, candidate.getValue(), 0, to - from)) {
                    return candidate.getKey();
                }
            }
        }
        return null;
    }

    /** The names of name-value pairs. */
    static Set<String> parseNames(byte[] params) {
        Set<String> names = new HashSet<>();
        forEachPair(
                params,
                (nameFrom, valueFrom, end) ->
                        names.add(new String(params, nameFrom, valueFrom - nameFrom, ISO_8859_1)));
        return names;
    }

    /** Parses name-value pairs, each with two lengths of one byte or four. */
    private static void forEachPair(byte[] params, PairConsumer consumer) {
        int[] position = {0};
        while (position[0] < params.length) {
            int nameLength = parseLength(params, position);
            int valueLength = parseLength(params, position);
            if (nameLength > params.length - position[0] || valueLength > params.length - position[0] - nameLength) {
                throw new IllegalArgumentException("a name-value pair exceeds the parameters");
            }
            int valueFrom = position[0] + nameLength;
            consumer.accept(position[0], valueFrom, valueFrom + valueLength);
            position[0] = valueFrom + valueLength;
        }
    }

    private static int parseLength(byte[] params, int[] position) {
        int size = position[0] < params.length && params[position[0]] < 0 ? 4 : 1;
        if (position[0] + size > params.length) {
            throw new IllegalArgumentException("a length field exceeds the parameters");
        }
        int length = params[position[0]++] & 0x7f;
        for (int i = 1; i < size; i++) {
            length = length << 8 | params[position[0]++] & 0xff;
        }
        return length;
    }

    /** The value of a field, null if it is absent. */
    public String string(String name) {
        return values.get(name);
    }

    /**
     * An integer of at most 15 digits, or the default if the field is absent.
     *
     * @throws IllegalArgumentException if the value is anything else
     */
    public long integer(String name, long defaultValue) {
        String text = values.get(name);
        if (text == null) {
            return defaultValue;
        }
        if (!text.matches("[0-9]{1,15}")) {
            throw new IllegalArgumentException(name + " is not an integer");
        }
        return Long.parseLong(text);
    }

    /** An integer that must be present, as above. */
    public long integer(String name) {
        return integer(requirePresent(name), 0);
    }

    /** A decimal number that must be present, without a sign or an exponent. */
    public double number(String name) {
        String text = values.get(requirePresent(name));
        if (!text.matches("[0-9]{1,9}(\\.[0-9]{1,20})?")) {
            throw new IllegalArgumentException(name + " is not a number");
        }
        return Double.parseDouble(text);
    }

    /**
     * Returns the name of a field that must be present.
     *
     * @throws IllegalArgumentException if it is absent
     */
    public String requirePresent(String name) {
        if (!values.containsKey(name)) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return name;
    }
}
