package tallyweir.fleet;

/** The id of an operator's command; a command that is sent again with the same id acts once. */
public record OperatorCommandId(String value) {}
