package tallyweir;

/** What a repeat of a query does: no harm, nothing within its window if it has the same key, or damage. */
public enum Effect {
    HARMLESS,
    STAMPED,
    ONE_SHOT
}
