package tallyweir.ids;

/** The resource a query asks for; queries with equal subjects may share a result. */
public record SubjectId(String value) {}
