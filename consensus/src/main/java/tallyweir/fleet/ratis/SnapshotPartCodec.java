package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import tallyweir.fleet.SnapshotPart;

/** Encodes the parts of a snapshot, each named by its record. */
final class SnapshotPartCodec extends MessageCodec<SnapshotPart> {
    SnapshotPartCodec() {
        super(mapper(), SnapshotPart.class);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = FleetMapper.create().addMixIn(SnapshotPart.class, Named.class);
        for (Class<?> part : SnapshotPart.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(part, part.getSimpleName()));
        }
        return mapper;
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    private interface Named {}
}
