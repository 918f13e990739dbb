package tallyweir.tool.scale;

import java.util.PriorityQueue;

/** Events of a simulation in the order of their times, and in the order in which they were added where times are equal. */
final class EventQueue {
    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;

    /** The time of the event that runs, tenths of a millisecond since the start. */
    long now() {
        return now;
    }

    /** Adds an event; one whose time is over runs next. */
    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    /** Adds an event that is so far away. */
    void after(long span, Runnable action) {
        at(now + span, action);
    }

    /** Runs what is due by then. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }
}
