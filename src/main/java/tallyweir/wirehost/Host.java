package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import tallyweir.Choice;
import tallyweir.Effect;
import tallyweir.Halt;
import tallyweir.Outgoing;
import tallyweir.Said;
import tallyweir.ids.QueryId;
import tallyweir.ids.TenantId;
import tallyweir.ids.TimerId;
import tallyweir.ids.WorkloadId;

/** One instance: its Choice, and its actions put into the reply. */
final class Host implements Outgoing {
    private final int backend;
    private Choice choice;
    private JsonGenerator reply;
    private boolean spoke;

    Host(int backend) {
        this.backend = backend;
    }

    Choice choice() {
        return choice;
    }

    void open(JsonGenerator to) {
        reply = to;
        spoke = false;
    }

    void close() throws IOException {
        if (spoke) {
            reply.writeEndArray();
            reply.writeEndObject();
        }
    }

    void destroy() {
        choice = null;
    }

    void configure(Tree params, long seed, long now) {
        Tree info = params.in("FamilyInfo");
        Tree rules = params.in("Rules");
        Tree permissions = params.in("Permissions");
        Choice made = new Choice(this, seed, now);
        made.machine((int) info.needed("Cpus"), rules.number("FallMultiple", 1), info.yes("Cold"),
                rules.number("ColdFrom", 1), rules.time("ColdUs"), halt(info.text("Halt", "off")));
        made.memory(info.needed("MemLimitKb"), info.number("RunMemFactor", 1), info.number("EntryKb", 0));
        made.below(info.number("CallsOut", 0), info.time("ShareSpanUs"), (info.time("LingerUs")) + 1);
        List<Tree> classes = params.each("Classes");
        for (int i = 0; i < classes.size(); i++) {
            Tree c = classes.get(i);
            made.workload(new WorkloadId(c.text("Name", "")), effect(c.text("Effect", "")), c.time("TargetUs"),
                    c.time("DeadlineUs"), c.number("Worth", 1), c.number("LateValue", 0),
                    c.time("RepeatWindowUs") + 1, info.yesAt("ClassCalls", i), info.at("ClassSkipWorth", i));
        }
        for (Tree t : params.each("Projects")) {
            made.tenant(new TenantId(t.text("Name", "")), t.number("QuotaPerS", 0),
                    (int) params.number("Servers", 1));
        }
        made.duties((long) Math.ceil(params.number("RoundUs", 0) / 100), rules.time("DrainGraceUs"),
                params.number("OverShareWorth", 1));
        made.callers(said(info.text("Signal", "off")), (int) info.number("ClientsTotal", 1),
                info.time("ShareForUs"),
                permissions.yes("RetryAfter") ? permissions.time("MaxRetryAfterUs") : 0);
        made.connections(info.time("IdleUs"));
        choice = made;
        made.start();
    }

    private static Effect effect(String word) {
        return switch (word) {
            case "safe" -> Effect.HARMLESS;
            case "keyed" -> Effect.STAMPED;
            default -> Effect.ONE_SHOT;
        };
    }

    private static Halt halt(String word) {
        return switch (word) {
            case "abort" -> Halt.ABORT;
            case "suspend" -> Halt.SUSPEND;
            default -> Halt.OFF;
        };
    }

    private static Said said(String word) {
        return switch (word) {
            case "threshold" -> Said.THRESHOLD;
            case "window" -> Said.WINDOW;
            case "share_of" -> Said.SHARE_OF;
            default -> Said.OFF;
        };
    }

    void fault(String text) {
        action("Fault", g -> g.writeStringField("What", text));
    }

    @Override
    public void run(QueryId query) {
        action("Execute", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void defer(QueryId query, long keepOff, boolean nowhereElse) {
        action("NotNow", g -> {
            g.writeNumberField("Id", query.value());
            if (keepOff > 0) {
                g.writeNumberField("RetryAfterUs", keepOff * 100);
            }
            if (nowhereElse) {
                g.writeBooleanField("Terminal", true);
            }
        });
    }

    @Override
    public void fail(QueryId query) {
        action("Lose", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void stop(QueryId query) {
        action("Yank", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void call(QueryId query, long timeOut) {
        action("CallDep", g -> {
            g.writeNumberField("Id", query.value());
            g.writeNumberField("TimeoutUs", timeOut * 100);
        });
    }

    @Override
    public void poorer(QueryId query) {
        action("FallBack", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void keep(QueryId query, long span) {
        action("RecordKey", g -> {
            g.writeNumberField("Id", query.value());
            g.writeNumberField("SpanUs", span * 100);
        });
    }

    @Override
    public void forget(QueryId query) {
        action("Erase", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void reuse(QueryId query) {
        action("Replay", g -> g.writeNumberField("Id", query.value()));
    }

    @Override
    public void health(boolean good, boolean stored) {
        action("SetHealth", g -> {
            g.writeBooleanField("On", good);
            g.writeBooleanField("FromState", stored);
        });
    }

    @Override
    public void say(double value) {
        action("Signal", g -> g.writeNumberField("X", value));
    }

    @Override
    public void closeIdle(long span) {
        action("CloseIdle", g -> g.writeNumberField("SpanUs", span * 100));
    }

    @Override
    public void wake(long at, TimerId timer) {
        action("WakeAt", g -> {
            g.writeNumberField("DueAtUs", at * 100);
            g.writeNumberField("Ctx", timer.value());
        });
    }

    private interface Fields {
        void write(JsonGenerator to) throws IOException;
    }

    private void action(String name, Fields fields) {
        try {
            if (!spoke) {
                spoke = true;
                reply.writeStartObject();
                reply.writeNumberField("Backend", backend);
                reply.writeArrayFieldStart("actions");
            }
            reply.writeStartObject();
            reply.writeStringField("t", name);
            fields.write(reply);
            reply.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
