package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import tallyweir.fleet.Command;

/** CBOR codec of commands in the replicated log. The names below are stored in logs on disk and must not change. */
final class CommandCodec extends MessageCodec<Command> {
    CommandCodec() {
        super(FleetMapper.create().addMixIn(Command.class, Names.class), Command.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Command.Tick.class, name = "tick"),
        @JsonSubTypes.Type(value = Command.CreateFleet.class, name = "found"),
        @JsonSubTypes.Type(value = Command.Join.class, name = "join"),
        @JsonSubTypes.Type(value = Command.Report.class, name = "report"),
        @JsonSubTypes.Type(value = Command.Leave.class, name = "leave"),
        @JsonSubTypes.Type(value = Command.Publish.class, name = "publish"),
        @JsonSubTypes.Type(value = Command.ChangeEntries.class, name = "change"),
        @JsonSubTypes.Type(value = Command.Rollback.class, name = "rollback"),
    })
    private interface Names {}
}
