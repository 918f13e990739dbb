package tallyweir.fastcgi;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The parameters of a request that the decisions need; the others are passed over. */
public final class Fields {
    public static final String ID = "HTTP_REQUEST_ID";
    public static final String RECEIVED = "HTTP_RECEIVED_AT";
    public static final String CALLER = "HTTP_SENT_BY";
    public static final String TENANT = "HTTP_ACCOUNT";
    public static final String PATIENCE = "HTTP_BUDGET_MS";
    public static final String AGAIN = "HTTP_ATTEMPT_AGAIN";
    public static final String SIZE = "HTTP_FOOTPRINT_KB";
    public static final String RANK = "HTTP_PRIORITY_RANK";
    public static final String SUBJECT = "HTTP_RESOURCE_KEY";
    public static final String STAMP = "HTTP_ONCE_KEY";
    public static final String PATH = "SCRIPT_NAME";
    public static final String METHOD = "REQUEST_METHOD";
    private static final Set<String> NEEDED =
            Set.of(ID, RECEIVED, CALLER, TENANT, PATIENCE, AGAIN, SIZE, RANK, SUBJECT, STAMP, PATH, METHOD);
    private static final int VALUE_MOST = 256;

    private final Map<String, String> values = new HashMap<>();

    Fields(byte[] params) {
        pairs(params).forEach((name, value) -> {
            if (NEEDED.contains(name)) {
                if (value.length() > VALUE_MOST) {
                    throw new IllegalArgumentException(name + " is too long");
                }
                values.put(name, value);
            }
        });
    }

    /** Name-value pairs, with lengths of one byte or four. */
    static Map<String, String> pairs(byte[] params) {
        Map<String, String> pairs = new LinkedHashMap<>();
        int[] at = {0};
        while (at[0] < params.length) {
            int name = length(params, at);
            int value = length(params, at);
            if (name > params.length - at[0] || value > params.length - at[0] - name) {
                throw new IllegalArgumentException("a pair reaches past the end");
            }
            pairs.put(new String(params, at[0], name, ISO_8859_1), new String(params, at[0] + name, value, ISO_8859_1));
            at[0] += name + value;
        }
        return pairs;
    }

    private static int length(byte[] params, int[] at) {
        int wide = at[0] < params.length && params[at[0]] < 0 ? 4 : 1;
        if (at[0] + wide > params.length) {
            throw new IllegalArgumentException("a length reaches past the end");
        }
        int length = params[at[0]++] & 0x7f;
        for (int i = 1; i < wide; i++) {
            length = length << 8 | params[at[0]++] & 0xff;
        }
        return length;
    }

    /** The value, null if the field is absent. */
    public String text(String name) {
        return values.get(name);
    }

    /** A whole number of at most 15 digits, absent as given; anything else is refused. */
    public long whole(String name, long absent) {
        String text = values.get(name);
        if (text == null) {
            return absent;
        }
        if (!text.matches("[0-9]{1,15}")) {
            throw new IllegalArgumentException(name + " is no whole number");
        }
        return Long.parseLong(text);
    }

    public long whole(String name) {
        return whole(needed(name), 0);
    }

    public double number(String name) {
        String text = values.get(needed(name));
        if (!text.matches("[0-9]{1,9}(\\.[0-9]{1,20})?")) {
            throw new IllegalArgumentException(name + " is no number");
        }
        return Double.parseDouble(text);
    }

    public String needed(String name) {
        if (!values.containsKey(name)) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return name;
    }
}
