package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import tallyweir.Choice;
import tallyweir.Outcome;
import tallyweir.config.Tree;
import tallyweir.ids.CallerId;
import tallyweir.ids.QueryId;
import tallyweir.ids.SubjectId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;

/** One event of a batch: parses its fields, which may come in any order, and passes them to the decisions. */
final class News {
    private static final long NONE = Long.MIN_VALUE;

    private String name;
    private long id;
    private long earlier;
    private long from;
    private long age;
    private long budget;
    private long predicted;
    private long took;
    private long ctx;
    private long seed;
    private double size;
    private double rank;
    private boolean again;
    private String resource;
    private String grade;
    private String tenant;
    private String how;
    private Tree params;
    private double coresBusy;
    private double runQueue;

    /** Parses the object whose start is the current token; unknown fields are ignored. */
    void read(JsonParser in) throws IOException {
        name = null;
        resource = null;
        grade = null;
        tenant = null;
        how = null;
        id = NONE;
        earlier = NONE;
        from = NONE;
        age = NONE;
        budget = NONE;
        predicted = NONE;
        took = NONE;
        ctx = NONE;
        seed = NONE;
        size = NONE;
        rank = 0;
        again = false;
        params = null;
        coresBusy = 0;
        runQueue = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "t" -> name = text(in, field);
                case "Id" -> id = whole(in, field);
                case "Earlier" -> earlier = whole(in, field);
                case "From" -> from = whole(in, field);
                case "Resource" -> resource = text(in, field);
                case "Grade" -> grade = text(in, field);
                case "SizeKb" -> size = number(in, field);
                case "AgeUs" -> age = whole(in, field);
                case "Prio" -> rank = number(in, field);
                case "BudgetUs" -> budget = whole(in, field);
                case "AgainByClient" -> again = in.currentToken() == JsonToken.VALUE_TRUE;
                case "ClientGroup" -> tenant = text(in, field);
                case "PredictedUs" -> predicted = whole(in, field);
                case "How" -> how = text(in, field);
                case "TookUs" -> took = whole(in, field);
                case "Ctx" -> ctx = whole(in, field);
                case "Nonce64" -> seed = whole(in, field);
                case "Params" -> {
                    params = Tree.read(in, "Params");
                }
                case "Telemetry" -> gauges(in);
                default -> in.skipChildren();
            }
        }
    }

    private void gauges(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new BadInput("Telemetry is not an object");
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
    void tell(Host host, long wallUs) {
        if (name == null) {
            throw new BadInput("an entry of news lacks its name t");
        }
        if (name.equals("Configure")) {
            if (params == null) {
                throw new BadInput("Configure lacks the object Params");
            }
            host.configure(params, needed(seed, "Nonce64"), wallUs / 100);
            return;
        }
        Choice choice = host.choice();
        if (choice == null) {
            return;
        }
        choice.clock(wallUs / 100);
        switch (name) {
            case "Destroy" -> host.destroy();
            case "Incoming" ->
                choice.read(
                        query(),
                        earlier == NONE || earlier == 0 ? null : new QueryId(earlier),
                        new CallerId(from),
                        resource == null ? null : new SubjectId(resource),
                        new WorkloadId(needed(grade, "Grade")),
                        needed(size, "SizeKb"),
                        age == NONE ? 0 : (age + 99) / 100,
                        rank,
                        budget == NONE ? 0 : budget / 100,
                        again,
                        tenant == null ? null : new TenantId(tenant),
                        predicted == NONE ? 0 : (predicted + 99) / 100);
            case "Settled" -> choice.ended(query(), outcome());
            case "NeedsDep" -> choice.standsAtCall(query());
            case "DepReply" -> choice.callEnded(query(), outcome(), took == NONE ? 0 : (took + 99) / 100);
            case "Lapsed" -> choice.gone(query());
            case "Quiesce" -> choice.drain(needed(budget, "BudgetUs") / 100);
            case "Fired" -> {
                needed(ctx, "Ctx");
                choice.gauges(coresBusy, runQueue);
                choice.timer(new TimerId(ctx));
            }
            default -> {}
        }
    }

    private QueryId query() {
        return new QueryId(needed(id, "Id"));
    }

    private Outcome outcome() {
        return switch (needed(how, "How")) {
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

    private long needed(long value, String field) {
        if (value == NONE) {
            throw new BadInput(name + " lacks the number " + field);
        }
        return value;
    }

    private double needed(double value, String field) {
        if (value == NONE) {
            throw new BadInput(name + " lacks the number " + field);
        }
        return value;
    }

    private String needed(String value, String field) {
        if (value == null) {
            throw new BadInput(name + " lacks the string " + field);
        }
        return value;
    }

    private static long whole(JsonParser in, String field) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new BadInput(field + " is not an integer");
        }
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? in.getBigIntegerValue().longValue()
                : in.getLongValue();
    }

    private static double number(JsonParser in, String field) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new BadInput(field + " is not a number");
        }
        return in.getDoubleValue();
    }

    private static String text(JsonParser in, String field) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new BadInput(field + " is not a string");
        }
        return in.getText();
    }
}
