package tallyweir.fleet.ratis;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import tallyweir.fleet.Digest;
import tallyweir.fleet.table.Change;
import tallyweir.fleet.table.Entry;
import tallyweir.fleet.table.Key;
import tallyweir.fleet.table.Kind;
import tallyweir.fleet.table.Path;
import tallyweir.fleet.table.Value;

/** Random records of any type: for a sealed type any of its records, for a record random values of its components. */
final class RecordArbitraries {
    private static final int MAX_ELEMENTS = 5;
    private static final int DIGEST_BYTES = 32;
    private static final int MAX_TEXT_LENGTH = 40;

    private RecordArbitraries() {}

    /** Random values of a type. */
    static <T> Arbitrary<T> of(Class<T> type) {
        return arbitrary(type).map(type::cast);
    }

    /** Returns all records of a sealed type, nested ones included; for any other type the type itself. */
    static List<Class<?>> records(Class<?> type) {
        if (!type.isSealed()) {
            return List.of(type);
        }
        return Stream.of(type.getPermittedSubclasses())
                .flatMap(each -> records(each).stream())
                .toList();
    }

    private static Arbitrary<?> arbitrary(Type type) {
        if (type instanceof ParameterizedType generic) {
            return container(generic);
        }
        Class<?> plain = (Class<?>) type;
        if (plain == Digest.class) {
            return digests();
        }
        if (plain == Path.class) {
            return Arbitraries.strings()
                    .withChars("0123456789abcdef")
                    .ofMaxLength(8)
                    .map(Path::new);
        }
        if (plain == Key.class) {
            return entries().map(Entry::key);
        }
        if (plain == Change.class) {
            return changes();
        }
        if (plain == Entry.class) {
            return entries();
        }
        if (plain.isEnum()) {
            return Arbitraries.of(Arrays.asList(plain.getEnumConstants()));
        }
        if (plain.isRecord()) {
            return record(plain);
        }
        if (plain.isSealed()) {
            return Arbitraries.of(records(plain))
                    .flatMap(each -> arbitrary(each).map(Object.class::cast));
        }
        return simple(plain);
    }

    private static Arbitrary<?> simple(Class<?> type) {
        if (type == long.class || type == Long.class) {
            return Arbitraries.longs();
        }
        if (type == int.class || type == Integer.class) {
            return Arbitraries.integers();
        }
        if (type == double.class) {
            return Arbitraries.doubles();
        }
        if (type == boolean.class) {
            return Arbitraries.of(true, false);
        }
        if (type == String.class) {
            return Arbitraries.strings().ofMaxLength(MAX_TEXT_LENGTH);
        }
        if (type == byte[].class) {
            return Arbitraries.bytes().array(byte[].class).ofMaxSize(MAX_TEXT_LENGTH);
        }
        throw new IllegalArgumentException("no arbitrary values of " + type);
    }

    private static Arbitrary<?> container(ParameterizedType type) {
        Type[] of = type.getActualTypeArguments();
        if (type.getRawType() == Map.class) {
            return Arbitraries.maps(arbitrary(of[0]), arbitrary(of[1])).ofMaxSize(MAX_ELEMENTS);
        }
        if (type.getRawType() == List.class) {
            return arbitrary(of[0]).list().ofMaxSize(MAX_ELEMENTS);
        }
        if (type.getRawType() == Optional.class) {
            return arbitrary(of[0]).optional();
        }
        throw new IllegalArgumentException("no arbitrary values of " + type);
    }

    private static Arbitrary<Object> record(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        if (components.length == 0) {
            return Arbitraries.create(() -> construct(type, components, List.of()));
        }
        List<Arbitrary<Object>> values = Stream.of(components)
                .map(component -> arbitrary(component.getGenericType()).map(Object.class::cast))
                .toList();
        return Combinators.combine(values).as(each -> construct(type, components, each));
    }

    private static Object construct(Class<?> type, RecordComponent[] components, List<Object> values) {
        Class<?>[] types = Stream.of(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return type.getDeclaredConstructor(types).newInstance(values.toArray());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Arbitrary<Digest> digests() {
        return Arbitraries.bytes()
                .array(byte[].class)
                .ofSize(DIGEST_BYTES)
                .map(bytes -> new Digest(HexFormat.of().formatHex(bytes)))
                .edgeCases(config -> config.add(Digest.NONE));
    }

    private static Arbitrary<Change> changes() {
        return entries()
                .flatMap(entry -> Combinators.combine(
                                entriesOf(entry.key().kind()).map(Entry::value).optional(),
                                entriesOf(entry.key().kind()).map(Entry::value).optional())
                        .as((before, after) -> new Change(entry.key(), before, after)));
    }

    private static Arbitrary<Entry> entries() {
        return Arbitraries.of(Kind.values()).flatMap(RecordArbitraries::entriesOf);
    }

    private static Arbitrary<Entry> entriesOf(Kind kind) {
        Arbitrary<Integer> numbers = Arbitraries.integers().between(1, 1000);
        Arbitrary<String> names =
                Arbitraries.strings().alpha().numeric().ofMinLength(1).ofMaxLength(MAX_TEXT_LENGTH);
        return Combinators.combine(names, numbers).as((name, number) -> entry(kind, name, number));
    }

    private static Entry entry(Kind kind, String name, int number) {
        return switch (kind) {
            case STORE -> new Entry(new Key(kind, "127.0.0.1:" + number), new Value.Weight(number));
            case ANNOUNCE -> new Entry(new Key(kind, ""), new Value.Address("127.0.0.1", number));
            case KERNEL -> new Entry(new Key(kind, name), new Value.Address("127.0.0.1", number));
            case CAP -> new Entry(new Key(kind, name), new Value.Cap(number));
            case STAND_BACK -> new Entry(new Key(kind, name), new Value.Present());
        };
    }
}
