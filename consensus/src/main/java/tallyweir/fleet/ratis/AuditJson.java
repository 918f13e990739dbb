package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.ids.TenantId;

/** Converts an audit to JSON with snake case names; ids are shown as plain text or numbers. */
final class AuditJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .addMixIn(Digest.class, TextValue.class)
            .addMixIn(ServerId.class, TextValue.class)
            .addMixIn(TenantId.class, TextValue.class)
            .addMixIn(OperatorCommandId.class, TextValue.class)
            .addMixIn(RevisionId.class, NumberValue.class)
            .addMixIn(Incarnation.class, NumberValue.class)
            .addModule(new Jdk8Module())
            .build();

    private AuditJson() {}

    static JsonNode of(FleetAudit audit) {
        return MAPPER.valueToTree(audit);
    }

    private interface TextValue {
        @JsonValue
        String value();
    }

    private interface NumberValue {
        @JsonValue
        long value();
    }
}
