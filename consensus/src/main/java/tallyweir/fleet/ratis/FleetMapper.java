package tallyweir.fleet.ratis;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.Set;
import java.util.function.Function;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.table.Path;
import tallyweir.ids.TenantId;

/**
 * Configures Jackson's CBOR for the fleet's records: records are arrays of their components in declared order, id records are the text or
 * number they wrap, digests are bytes, and lists of entries and changes are bytes of the table's own codec. Missing, unknown or
 * wrongly typed components are errors.
 */
final class FleetMapper {
    private static final Set<Class<?>> TEXT_IDS = Set.of(ServerId.class, TenantId.class, OperatorCommandId.class);
    private static final Set<Class<?>> NUMBER_IDS = Set.of(RevisionId.class, Incarnation.class);

    private FleetMapper() {}

    /** Disables the table of field names: map keys are tenants, which are too many to intern. */
    private static CBORFactory factory() {
        return CBORFactory.builder()
                .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                .build();
    }

    /** Creates a mapper; callers may add mix-ins for their sealed types to it. */
    static ObjectMapper create() {
        MapperBuilder<?, ?> builder = CBORMapper.builder(factory())
                .annotationIntrospector(new RecordsAsArrays())
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                .addMixIn(Fault.class, FaultNames.class)
                .addMixIn(Path.class, PathValue.class)
                .addModule(new Jdk8Module())
                .addModule(tableModule())
                .addModule(idModule());
        TEXT_IDS.forEach(type -> builder.addMixIn(type, TextValue.class));
        NUMBER_IDS.forEach(type -> builder.addMixIn(type, NumberValue.class));
        Fault.kinds().forEach(kind -> builder.registerSubtypes(new NamedType(kind, kind.getSimpleName())));
        return builder.build();
    }

    private static SimpleModule tableModule() {
        SimpleModule module = new SimpleModule("tables");
        module.setSerializers(new EntryListSerializers());
        module.setDeserializers(new EntryListDeserializers());
        return module;
    }

    private static SimpleModule idModule() {
        SimpleModule module = new SimpleModule("names");
        module.addSerializer(new DigestSerializer());
        module.addDeserializer(Digest.class, new DigestDeserializer());
        module.addKeyDeserializer(TenantId.class, new TextKeyDeserializer(TenantId::new));
        module.addKeyDeserializer(ServerId.class, new TextKeyDeserializer(ServerId::new));
        return module;
    }

    /** Serializes records other than ids and paths as arrays of their components. */
    private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1;

        @Override
        public JsonFormat.Value findFormat(Annotated annotated) {
            Class<?> type = annotated.getRawType();
            if (type.isRecord() && type != Path.class && !TEXT_IDS.contains(type) && !NUMBER_IDS.contains(type)) {
                return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
            }
            return super.findFormat(annotated);
        }
    }

    /** Reads a map key that is a record with one text component. */
    private static final class TextKeyDeserializer extends KeyDeserializer {
        private final Function<String, Object> constructor;

        private TextKeyDeserializer(Function<String, Object> constructor) {
            this.constructor = constructor;
        }

        @Override
        public Object deserializeKey(String key, DeserializationContext context) {
            return constructor.apply(key);
        }
    }

    /** Faults are tagged with the simple name of their class, which is stored and must not change; a test checks the names. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    private interface FaultNames {}

    private abstract static class TextValue {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        TextValue(String value) {}

        @JsonValue
        abstract String value();
    }

    private abstract static class NumberValue {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        NumberValue(long value) {}

        @JsonValue
        abstract long value();
    }

    private abstract static class PathValue {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        PathValue(String digits) {}

        @JsonValue
        abstract String digits();
    }
}
