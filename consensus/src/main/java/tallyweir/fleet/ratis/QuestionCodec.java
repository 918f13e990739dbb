package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** CBOR codec of read requests to voters. The names below are part of the protocol and must not change. */
final class QuestionCodec extends MessageCodec<Question> {
    QuestionCodec() {
        super(FleetMapper.create().addMixIn(Question.class, Names.class), Question.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Question.Audit.class, name = "audit"),
        @JsonSubTypes.Type(value = Question.Values.class, name = "values"),
        @JsonSubTypes.Type(value = Question.Difference.class, name = "difference"),
        @JsonSubTypes.Type(value = Question.Chunk.class, name = "piece"),
    })
    private interface Names {}
}
