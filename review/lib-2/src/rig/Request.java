package rig;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

/** One try of a request, as a sidecar sends it, with what came back. */
public final class Request {
    public final String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
    public final String workload;
    public final byte[] body;
    public String key; // Once-Key, null for none
    public String tenant; // Account, null for none
    public long receivedAt; // Unix ms
    public int budgetMs;
    public double footprintKb = 1;
    public boolean again;
    public int callerNumber = 1;
    public volatile long writtenAt; // Unix ms, after the last byte was written
    public volatile boolean over; // answered or given up
    public final CompletableFuture<Answer> answer = new CompletableFuture<>();

    /** status 0: the connection ended without a whole answer; -1: END_REQUEST without a status; 503: also OVERLOADED. */
    public record Answer(int status, byte[] body, String headers, long at) {
        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    public Request(String workload, String body, int budgetMs) {
        this.workload = workload;
        this.body = body.getBytes(StandardCharsets.ISO_8859_1);
        this.budgetMs = budgetMs;
    }

    public Request key(String onceKey) {
        key = onceKey;
        return this;
    }

    public Request tenant(String account) {
        tenant = account;
        return this;
    }

    Map<String, String> params() {
        Map<String, String> p = new LinkedHashMap<>();
        p.put("REQUEST_METHOD", "POST");
        p.put("SCRIPT_NAME", "/do/" + workload);
        p.put("HTTP_REQUEST_ID", id);
        p.put("HTTP_RECEIVED_AT", Long.toString(receivedAt));
        p.put("HTTP_SENT_BY", Integer.toString(callerNumber));
        p.put("HTTP_BUDGET_MS", Integer.toString(budgetMs));
        p.put("HTTP_FOOTPRINT_KB", String.format(java.util.Locale.ROOT, "%.3f", footprintKb));
        p.put("HTTP_PRIORITY_RANK", "0.5000");
        if (tenant != null) {
            p.put("HTTP_ACCOUNT", tenant);
        }
        if (key != null) {
            p.put("HTTP_ONCE_KEY", key);
        }
        if (again) {
            p.put("HTTP_ATTEMPT_AGAIN", "1");
        }
        return p;
    }

    /** Whether an answer came before the end of the budget and the slack. */
    public boolean answeredInTime(int slackMs) {
        Answer a = answer.getNow(null);
        return a != null && a.status != 0 && a.at <= receivedAt + budgetMs + slackMs;
    }
}
