package tallyweir.stand;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What requests of a load are like.
 *
 * @param workload the workload that is asked for
 * @param keyed whether its requests carry a mark of their own
 * @param patienceMs how long a caller waits for an answer
 */
public record LoadSettings(String workload, boolean keyed, int patienceMs) {
    private static final int FOOTPRINT_KB = 4;

    Map<String, String> parameters(String id, SplittableRandom chance) {
        Map<String, String> of = new LinkedHashMap<>();
        of.put("REQUEST_METHOD", "POST");
        of.put("SCRIPT_NAME", "/do/" + workload);
        of.put("HTTP_REQUEST_ID", id);
        of.put("HTTP_RECEIVED_AT", Long.toString(System.currentTimeMillis()));
        of.put("HTTP_SENT_BY", "1");
        of.put("HTTP_BUDGET_MS", Integer.toString(patienceMs));
        of.put("HTTP_FOOTPRINT_KB", Integer.toString(FOOTPRINT_KB));
        of.put("HTTP_PRIORITY_RANK", String.format("%.4f", chance.nextDouble(0.9999)));
        if (keyed) {
            of.put("HTTP_ONCE_KEY", id);
        }
        return of;
    }
}
