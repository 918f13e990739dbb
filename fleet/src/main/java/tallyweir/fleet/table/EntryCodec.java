package tallyweir.fleet.table;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The compact binary encoding of lists of entries and of changes. An entry is encoded as the code of its kind, the length of its
 * name, the name in UTF-8 and its value. The decoders throw {@link tallyweir.fleet.Fault.EntryFaulty} for invalid bytes.
 */
public final class EntryCodec {
    private EntryCodec() {}

    /** Encodes a list of entries. */
    public static byte[] entries(List<Entry> entries) {
        EntryWriter writer = new EntryWriter().varint(entries.size());
        entries.forEach(writer::entry);
        return writer.toByteArray();
    }

    /** Decodes a list of entries. */
    public static List<Entry> entries(byte[] bytes) {
        EntryReader reader = new EntryReader(bytes);
        return list(reader, reader::entry);
    }

    /** Encodes a list of changes. */
    public static byte[] changes(List<Change> changes) {
        EntryWriter writer = new EntryWriter().varint(changes.size());
        changes.forEach(writer::change);
        return writer.toByteArray();
    }

    /** Decodes a list of changes. */
    public static List<Change> changes(byte[] bytes) {
        EntryReader reader = new EntryReader(bytes);
        return list(reader, reader::change);
    }

    private static <T> List<T> list(EntryReader reader, Supplier<T> item) {
        int count = reader.count();
        List<T> items = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            items.add(item.get());
        }
        reader.requireEnd();
        return items;
    }
}
