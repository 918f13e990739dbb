package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import tallyweir.Choice;
import tallyweir.Outcome;
import tallyweir.config.SettingsObject;
import tallyweir.ids.CallerId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;

/** One event of a batch: parses its fields, which may come in any order, and passes them to the decisions. */
final class Event {
    private static final long ABSENT = Long.MIN_VALUE;

    private String name;
    private long queryId;
    private long earlierId;
    private long caller;
    private long ageUs;
    private long budgetUs;
    private long predictedUs;
    private long durationUs;
    private long timerId;
    private long seed;
    private double sizeKb;
    private double rank;
    private boolean retry;
    private String subject;
    private String workload;
    private String tenant;
    private String outcomeName;
    private SettingsObject params;
    private double coresBusy;
    private double runQueue;

    /** Parses the object whose start is the current token; unknown fields are ignored. */
    void read(JsonParser in) throws IOException {
        name = null;
        subject = null;
        workload = null;
        tenant = null;
        outcomeName = null;
        queryId = ABSENT;
        earlierId = ABSENT;
        caller = ABSENT;
        ageUs = ABSENT;
        budgetUs = ABSENT;
        predictedUs = ABSENT;
        durationUs = ABSENT;
        timerId = ABSENT;
        seed = ABSENT;
        sizeKb = ABSENT;
        rank = 0;
        retry = false;
        params = null;
        coresBusy = 0;
        runQueue = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "t" -> name = string(in, field);
                case "Id" -> queryId = integer(in, field);
                case "Earlier" -> earlierId = integer(in, field);
                case "From" -> caller = integer(in, field);
                case "Resource" -> subject = string(in, field);
                case "Grade" -> workload = string(in, field);
                case "SizeKb" -> sizeKb = number(in, field);
                case "AgeUs" -> ageUs = integer(in, field);
                case "Prio" -> rank = number(in, field);
                case "BudgetUs" -> budgetUs = integer(in, field);
                case "AgainByClient" -> retry = in.currentToken() == JsonToken.VALUE_TRUE;
                case "ClientGroup" -> tenant = string(in, field);
                case "PredictedUs" -> predictedUs = integer(in, field);
                case "How" -> outcomeName = string(in, field);
                case "TookUs" -> durationUs = integer(in, field);
                case "Ctx" -> timerId = integer(in, field);
                case "Nonce64" -> seed = integer(in, field);
                case "Params" -> {
                    params = SettingsObject.read(in, "Params");
                }
                case "Telemetry" -> readGauges(in);
                default -> in.skipChildren();
            }
        }
    }

    private void readGauges(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new InvalidBatchException("Telemetry is not an object");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String gauge = in.currentName();
            if (!in.nextToken().isNumeric()) {
                in.skipChildren();
                continue;
            }
            switch (gauge) {
                case "core_use" -> coresBusy = in.getDoubleValue();
                case "on_cores" -> runQueue = in.getDoubleValue();
                default -> {}
            }
        }
    }

    /**
     * Passes the event to an instance. An instance that is not configured ignores all events but Configure.
     *
     * @param wallUs the time of the batch in microseconds
     */
    void dispatch(Instance instance, long wallUs) {
        if (name == null) {
            throw new InvalidBatchException("an entry of news lacks its name t");
        }
        if (name.equals("Configure")) {
            if (params == null) {
                throw new InvalidBatchException("Configure lacks the object Params");
            }
            instance.configure(params, require(seed, "Nonce64"), wallUs / 100);
            return;
        }
        Choice choice = instance.choice();
        if (choice == null) {
            return;
        }
        choice.setTime(wallUs / 100);
        switch (name) {
            case "Destroy" -> instance.destroy();
            case "Incoming" ->
                choice.onQueryRead(
                        query(),
                        earlierId == ABSENT || earlierId == 0 ? null : new QueryId(earlierId),
                        new CallerId(caller),
                        subject == null ? null : new SubjectId(subject),
                        new WorkloadId(require(workload, "Grade")),
                        require(sizeKb, "SizeKb"),
                        ageUs == ABSENT ? 0 : (ageUs + 99) / 100,
                        rank,
                        budgetUs == ABSENT ? 0 : budgetUs / 100,
                        retry,
                        tenant == null ? null : new TenantId(tenant),
                        predictedUs == ABSENT ? 0 : (predictedUs + 99) / 100);
            case "Settled" -> choice.onRunEnded(query(), outcome());
            case "NeedsDep" -> choice.onBlockedOnCall(query());
            case "DepReply" ->
                choice.onCallEnded(query(), outcome(), durationUs == ABSENT ? 0 : (durationUs + 99) / 100);
            case "Lapsed" -> choice.onCallerDisconnected(query());
            case "Quiesce" -> choice.drain(require(budgetUs, "BudgetUs") / 100);
            case "Fired" -> {
                require(timerId, "Ctx");
                choice.setGauges(coresBusy, runQueue);
                choice.onTimer(new TimerId(timerId));
            }
            default -> {}
        }
    }

    private QueryId query() {
        return new QueryId(require(queryId, "Id"));
    }

    private Outcome outcome() {
        return switch (require(outcomeName, "How")) {
            case "completed" -> Outcome.COMPLETED;
            case "saturated" -> Outcome.SATURATED;
            case "overdue" -> Outcome.OVERDUE;
            case "refused_conn" -> Outcome.REFUSED_CONN;
            case "severed" -> Outcome.SEVERED;
            case "recalled" -> Outcome.RECALLED;
            case "superseded" -> Outcome.SUPERSEDED;
            default -> Outcome.ERRORED;
        };
    }

    private long require(long value, String field) {
        if (value == ABSENT) {
            throw new InvalidBatchException(name + " lacks the number " + field);
        }
        return value;
    }

    private double require(double value, String field) {
        if (value == ABSENT) {
            throw new InvalidBatchException(name + " lacks the number " + field);
        }
        return value;
    }

    private String require(String value, String field) {
        if (value == null) {
            throw new InvalidBatchException(name + " lacks the string " + field);
        }
        return value;
    }

    private static long integer(JsonParser in, String field) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidBatchException(field + " is not an integer");
        }
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? in.getBigIntegerValue().longValue()
                : in.getLongValue();
    }

    private static double number(JsonParser in, String field) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new InvalidBatchException(field + " is not a number");
        }
        return in.getDoubleValue();
    }

    private static String string(JsonParser in, String field) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new InvalidBatchException(field + " is not a string");
        }
        return in.getText();
    }
}
