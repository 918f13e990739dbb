package tallyweir.ids;

/** What a query is about; equal ones may share a result. */
public record SubjectId(String value) {}
