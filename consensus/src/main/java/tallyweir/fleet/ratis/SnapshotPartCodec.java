package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import tallyweir.fleet.LendingPart;
import tallyweir.fleet.SnapshotPart;

/** CBOR codec of the parts of a snapshot; each is tagged with the simple name of its record, which is stored and must not change. */
final class SnapshotPartCodec extends MessageCodec<SnapshotPart> {
    SnapshotPartCodec() {
        super(mapper(), SnapshotPart.class);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = FleetMapper.create();
        registerRecordNames(mapper, SnapshotPart.class);
        registerRecordNames(mapper, LendingPart.class);
        return mapper;
    }

    private static void registerRecordNames(ObjectMapper mapper, Class<?> sealed) {
        mapper.addMixIn(sealed, TaggedByName.class);
        for (Class<?> each : sealed.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(each, each.getSimpleName()));
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    private interface TaggedByName {}
}
