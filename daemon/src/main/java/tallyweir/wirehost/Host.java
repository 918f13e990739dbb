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

/** One hosted instance of the decisions: its {@link Choice}, whose actions are written into the reply to a batch. */
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

    /** Begins the reply to the events of a batch; the group is written with the first action. */
    void open(JsonGenerator json) {
        reply = json;
        spoke = false;
    }

    /** Ends the reply to the events of a batch. */
    void close() throws IOException {
        if (spoke) {
            reply.writeEndArray();
            reply.writeEndObject();
        }
    }

    void destroy() {
        choice = null;
    }

    /**
     * Starts the instance, anew if it is running.
     *
     * @param now the time in tenths of a millisecond
     */
    void configure(Tree params, long seed, long now) {
        Settings settings = new Settings(params);
        choice = new Choice(this, seed, now);
        settings.start(choice, settings.cold(), true, true, true);
    }

    /** Reports a failure of the decisions. */
    void fault(String text) {
        action("Fault", json -> json.writeStringField("What", text));
    }

    @Override
    public void run(QueryId query) {
        action("Execute", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void defer(QueryId query, long retryAfter, boolean terminal) {
        action("NotNow", json -> {
            json.writeNumberField("Id", query.value());
            if (retryAfter > 0) {
                json.writeNumberField("RetryAfterUs", retryAfter * 100);
            }
            if (terminal) {
                json.writeBooleanField("Terminal", true);
            }
        });
    }

    @Override
    public void fail(QueryId query) {
        action("Lose", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void stop(QueryId query) {
        action("Yank", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void call(QueryId query, long timeout) {
        action("CallDep", json -> {
            json.writeNumberField("Id", query.value());
            json.writeNumberField("TimeoutUs", timeout * 100);
        });
    }

    @Override
    public void poorer(QueryId query) {
        action("FallBack", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void keep(QueryId query, long duration) {
        action("RecordKey", json -> {
            json.writeNumberField("Id", query.value());
            json.writeNumberField("SpanUs", duration * 100);
        });
    }

    @Override
    public void forget(QueryId query) {
        action("Erase", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void reuse(QueryId query) {
        action("Replay", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void health(boolean good, boolean fromState) {
        action("SetHealth", json -> {
            json.writeBooleanField("On", good);
            json.writeBooleanField("FromState", fromState);
        });
    }

    @Override
    public void say(double level) {
        action("Signal", json -> json.writeNumberField("X", level));
    }

    @Override
    public void closeIdle(long idleDuration) {
        action("CloseIdle", json -> json.writeNumberField("SpanUs", idleDuration * 100));
    }

    @Override
    public void wake(long at, TimerId timer) {
        action("WakeAt", json -> {
            json.writeNumberField("DueAtUs", at * 100);
            json.writeNumberField("Ctx", timer.value());
        });
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
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
