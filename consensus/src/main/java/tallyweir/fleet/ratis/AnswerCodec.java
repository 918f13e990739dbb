package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import tallyweir.fleet.Answer;

/** CBOR codec of the replicated state's answers to commands. The names below are part of the protocol and must not change. */
final class AnswerCodec extends MessageCodec<Answer> {
    AnswerCodec() {
        super(FleetMapper.create().addMixIn(Answer.class, Names.class), Answer.class);
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Answer.Joined.class, name = "joined"),
        @JsonSubTypes.Type(value = Answer.ReportAccepted.class, name = "told"),
        @JsonSubTypes.Type(value = Answer.Done.class, name = "done"),
        @JsonSubTypes.Type(value = Answer.Waiting.class, name = "waiting"),
        @JsonSubTypes.Type(value = Answer.Refused.class, name = "refused"),
    })
    private interface Names {}
}
