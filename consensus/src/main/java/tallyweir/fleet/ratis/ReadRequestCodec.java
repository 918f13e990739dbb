package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** CBOR codec of read requests to voters. The names below are part of the protocol and must not change. */
final class ReadRequestCodec extends MessageCodec<ReadRequest> {
    ReadRequestCodec() {
        super(FleetMapper.create().addMixIn(ReadRequest.class, Names.class), ReadRequest.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ReadRequest.Audit.class, name = "audit"),
        @JsonSubTypes.Type(value = ReadRequest.Values.class, name = "values"),
        @JsonSubTypes.Type(value = ReadRequest.Difference.class, name = "difference"),
        @JsonSubTypes.Type(value = ReadRequest.Chunk.class, name = "piece"),
    })
    private interface Names {}
}
