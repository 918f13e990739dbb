package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.jsontype.TypeSerializer;
import com.fasterxml.jackson.databind.module.SimpleSerializers;
import com.fasterxml.jackson.databind.type.CollectionType;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.EntryCodec;

/** Writes lists of a table's entries and of changes as one byte string in the format of {@link EntryCodec}. */
final class EntryListSerializers extends SimpleSerializers {
    private static final long serialVersionUID = 1;

    @Override
    public JsonSerializer<?> findCollectionSerializer(
            SerializationConfig config,
            CollectionType type,
            BeanDescription description,
            TypeSerializer elementTypeSerializer,
            JsonSerializer<Object> elementSerializer) {
        Class<?> element = type.getContentType().getRawClass();
        if (element == Change.class) {
            return new ListSerializer<Change>(EntryCodec::changes);
        }
        if (element == Entry.class) {
            return new ListSerializer<Entry>(EntryCodec::entries);
        }
        return super.findCollectionSerializer(config, type, description, elementTypeSerializer, elementSerializer);
    }

    private static final class ListSerializer<T> extends JsonSerializer<List<T>> {
        private final Function<List<T>, byte[]> encoder;

        private ListSerializer(Function<List<T>, byte[]> encoder) {
            this.encoder = encoder;
        }

        @Override
        public void serialize(List<T> list, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeBinary(encoder.apply(list));
        }
    }
}
