package tallyweir.ids;

public record SubjectId(String value) {}
