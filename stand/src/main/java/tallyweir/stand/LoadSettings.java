package tallyweir.stand;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The properties of the requests that callers send.
 *
 * @param workload the name of the workload
 * @param keyed whether each request carries an idempotency key of its own
 * @param timeoutMs how long a caller waits for an answer
 */
public record LoadSettings(String workload, boolean keyed, int timeoutMs) {
    private static final int FOOTPRINT_KB = 4;

    /** The FastCGI parameters of a request. */
    Map<String, String> parameters(String id, SplittableRandom random) {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put("REQUEST_METHOD", "POST");
        parameters.put("SCRIPT_NAME", "/do/" + workload);
        parameters.put("HTTP_REQUEST_ID", id);
        parameters.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        parameters.put("HTTP_SENT_BY", "1");
        parameters.put("HTTP_BUDGET_MS", Integer.toString(timeoutMs));
        parameters.put("HTTP_FOOTPRINT_KB", Integer.toString(FOOTPRINT_KB));
        parameters.put("HTTP_PRIORITY_RANK", String.format("%.4f", random.nextDouble(0.9999)));
        if (keyed) {
            parameters.put("HTTP_ONCE_KEY", id);
        }
        return parameters;
    }
}
