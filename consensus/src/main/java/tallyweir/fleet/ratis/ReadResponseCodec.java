package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** CBOR codec of voters' responses to read requests. The names below are part of the protocol and must not change. */
final class ReadResponseCodec extends MessageCodec<ReadResponse> {
    ReadResponseCodec() {
        super(FleetMapper.create().addMixIn(ReadResponse.class, Names.class), ReadResponse.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ReadResponse.Audit.class, name = "audit"),
        @JsonSubTypes.Type(value = ReadResponse.Values.class, name = "values"),
        @JsonSubTypes.Type(value = ReadResponse.Difference.class, name = "difference"),
        @JsonSubTypes.Type(value = ReadResponse.DifferenceTooLarge.class, name = "too_far"),
        @JsonSubTypes.Type(value = ReadResponse.Chunk.class, name = "piece"),
        @JsonSubTypes.Type(value = ReadResponse.UnknownRoot.class, name = "unknown_root"),
    })
    private interface Names {}
}
