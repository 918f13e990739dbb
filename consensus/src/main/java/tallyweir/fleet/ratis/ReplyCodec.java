package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** CBOR codec of voters' responses to read requests. The names below are part of the protocol and must not change. */
final class ReplyCodec extends MessageCodec<Reply> {
    ReplyCodec() {
        super(FleetMapper.create().addMixIn(Reply.class, Names.class), Reply.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Reply.Audit.class, name = "audit"),
        @JsonSubTypes.Type(value = Reply.Values.class, name = "values"),
        @JsonSubTypes.Type(value = Reply.Difference.class, name = "difference"),
        @JsonSubTypes.Type(value = Reply.DifferenceTooLarge.class, name = "too_far"),
        @JsonSubTypes.Type(value = Reply.Chunk.class, name = "piece"),
        @JsonSubTypes.Type(value = Reply.UnknownRoot.class, name = "unknown_root"),
    })
    private interface Names {}
}
