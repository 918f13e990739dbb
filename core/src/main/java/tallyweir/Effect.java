package tallyweir;

/**
 * What carrying out a query twice does. HARMLESS: nothing bad. STAMPED: nothing, if the repeat bears the same key and
 * comes within the workload's repeat window. ONE_SHOT: damage.
 */
public enum Effect {
    HARMLESS,
    STAMPED,
    ONE_SHOT
}
