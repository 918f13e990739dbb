package tallyweir;

public enum Halt { OFF, ABORT, SUSPEND }
