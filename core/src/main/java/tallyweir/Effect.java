package tallyweir;

public enum Effect { HARMLESS, STAMPED, ONE_SHOT }
