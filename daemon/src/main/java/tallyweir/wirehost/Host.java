package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import tallyweir.Choice;
import tallyweir.Outgoing;
import tallyweir.config.Settings;
import tallyweir.config.Tree;
import tallyweir.ids.QueryId;
import tallyweir.ids.TimerId;

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
        Settings settings = new Settings(params);
        choice = new Choice(this, seed, now);
        settings.start(choice, settings.cold(), true, true, true);
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
