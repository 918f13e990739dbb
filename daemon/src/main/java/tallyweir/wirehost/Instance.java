package tallyweir.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import tallyweir.Choice;
import tallyweir.Outgoing;
import tallyweir.config.Settings;
import tallyweir.config.SettingsObject;
import tallyweir.ids.QueryId;
import tallyweir.ids.TimerId;

/** One hosted instance of the decisions: its {@link Choice}, whose actions are written into the reply to a batch. */
final class Instance implements Outgoing {
    private final int backend;
    private Choice choice;
    private JsonGenerator reply;
    private boolean groupStarted;

    Instance(int backend) {
        this.backend = backend;
    }

    Choice choice() {
        return choice;
    }

    /** Begins the reply to the events of a batch; the group is written with the first action. */
    void beginReply(JsonGenerator json) {
        reply = json;
        groupStarted = false;
    }

    /** Ends the reply to the events of a batch. */
    void endReply() throws IOException {
        if (groupStarted) {
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
    void configure(SettingsObject params, long seed, long now) {
        Settings settings = new Settings(params);
        choice = new Choice(this, seed, now);
        settings.start(choice, settings.startsCold(), true, true, true);
    }

    /** Reports a failure of the decisions. */
    void reportFault(String text) {
        writeAction("Fault", json -> json.writeStringField("What", text));
    }

    @Override
    public void run(QueryId query) {
        writeAction("Execute", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void defer(QueryId query, long retryAfter, boolean terminal) {
        writeAction("NotNow", json -> {
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
        writeAction("Lose", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void cancel(QueryId query) {
        writeAction("Yank", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void call(QueryId query, long timeout) {
        writeAction("CallDep", json -> {
            json.writeNumberField("Id", query.value());
            json.writeNumberField("TimeoutUs", timeout * 100);
        });
    }

    @Override
    public void degrade(QueryId query) {
        writeAction("FallBack", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void retain(QueryId query, long duration) {
        writeAction("RecordKey", json -> {
            json.writeNumberField("Id", query.value());
            json.writeNumberField("SpanUs", duration * 100);
        });
    }

    @Override
    public void discardRetained(QueryId query) {
        writeAction("Erase", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void replay(QueryId query) {
        writeAction("Replay", json -> json.writeNumberField("Id", query.value()));
    }

    @Override
    public void setHealth(boolean good, boolean fromState) {
        writeAction("SetHealth", json -> {
            json.writeBooleanField("On", good);
            json.writeBooleanField("FromState", fromState);
        });
    }

    @Override
    public void advertiseLoad(double level) {
        writeAction("Signal", json -> json.writeNumberField("X", level));
    }

    @Override
    public void setIdleTimeout(long idleDuration) {
        writeAction("CloseIdle", json -> json.writeNumberField("SpanUs", idleDuration * 100));
    }

    @Override
    public void setTimer(long at, TimerId timer) {
        writeAction("WakeAt", json -> {
            json.writeNumberField("DueAtUs", at * 100);
            json.writeNumberField("Ctx", timer.value());
        });
    }

    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private void writeAction(String name, FieldWriter fields) {
        try {
            if (!groupStarted) {
                groupStarted = true;
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
