package tallyweir.ids;

/** One connection to the kernel or the store. A reconnect gets a new number; numbers are never reused. */
public record LinkId(long value) {}
