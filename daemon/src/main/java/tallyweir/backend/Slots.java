package tallyweir.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A table of numbered slots. Reuses the number that has been free the longest. Not thread-safe. */
final class Slots<T> {
    private final List<T> slots = new ArrayList<>();
    private final ArrayDeque<Integer> free = new ArrayDeque<>();

    /** Stores the value in a free slot and returns the slot's number. */
    int add(T value) {
        if (free.isEmpty()) {
            slots.add(value);
            return slots.size() - 1;
        }
        int number = free.poll();
        slots.set(number, value);
        return number;
    }

    /** The value in the slot, null if it is free. */
    T get(int number) {
        return number >= 0 && number < slots.size() ? slots.get(number) : null;
    }

    void free(int number) {
        if (slots.set(number, null) != null) {
            free.add(number);
        }
    }

    int size() {
        return slots.size() - free.size();
    }

    /** A copy of all values in use, in the order of their slots. */
    List<T> all() {
        return slots.stream().filter(s -> s != null).toList();
    }
}
