package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.jsontype.TypeDeserializer;
import com.fasterxml.jackson.databind.module.SimpleDeserializers;
import com.fasterxml.jackson.databind.type.CollectionType;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.EntryCodec;

/** Reads lists written by {@link EntryListSerializers}. */
final class EntryListDeserializers extends SimpleDeserializers {
    private static final long serialVersionUID = 1;

    @Override
    public JsonDeserializer<?> findCollectionDeserializer(
            CollectionType type,
            DeserializationConfig config,
            BeanDescription description,
            TypeDeserializer elementTypeDeserializer,
            JsonDeserializer<?> elementDeserializer)
            throws JsonMappingException {
        Class<?> element = type.getContentType().getRawClass();
        if (element == Change.class) {
            return new ListDeserializer<Change>(EntryCodec::changes);
        }
        if (element == Entry.class) {
            return new ListDeserializer<Entry>(EntryCodec::entries);
        }
        return super.findCollectionDeserializer(
                type, config, description, elementTypeDeserializer, elementDeserializer);
    }

    private static final class ListDeserializer<T> extends JsonDeserializer<List<T>> {
        private final Function<byte[], List<T>> decoder;

        private ListDeserializer(Function<byte[], List<T>> decoder) {
            this.decoder = decoder;
        }

        @Override
        public List<T> deserialize(JsonParser in, DeserializationContext context) throws IOException {
            if (!in.hasToken(JsonToken.VALUE_EMBEDDED_OBJECT)) {
                context.handleUnexpectedToken(context.constructType(List.class), in);
            }
            return decoder.apply(in.getBinaryValue());
        }
    }
}
