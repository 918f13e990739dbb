package tallyweir.fleet;

/** What an operator asked once, however often it was sent. */
public record OperatorCommand(String value) {}
