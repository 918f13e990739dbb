package tallyweir.backend;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which commands the kernel has read. It reads a link in order, so its answer to a request for the gauges shows
 * that it has read every command sent before that request. What it is not known to have read when the link ends is
 * uncertain.
 */
final class CommandDeliveries {
    private final ArrayDeque<Delivery> unread = new ArrayDeque<>(); // in the order of sending
    private final Map<String, Delivery> requests = new HashMap<>(); // unanswered requests for the gauges, by tag

    /** A command has been written to the link. */
    void sent(Delivery delivery) {
        delivery.markSent();
        unread.add(delivery);
    }

    /** A request for the gauges has been written to the link. */
    void requestSent(String tag) {
        Delivery request = new Delivery();
        sent(request);
        requests.put(tag, request);
    }

    /** The kernel has answered the request with this tag. Does nothing if no such request is unanswered. */
    void answered(String tag) {
        Delivery request = requests.get(tag);
        while (request != null && !request.isRead()) {
            unread.remove().markRead();
        }
        requests.values().removeIf(Delivery::isRead);
    }

    /** The link has ended. */
    void linkEnded() {
        unread.forEach(Delivery::markUncertain);
        unread.clear();
        requests.clear();
    }
}
