package marigoldward.support.settings

/** Collects the problems of one or more files, so that an operator sees all of them at once. */
public class ProblemList private constructor() {
    private var problems = emptyList<SettingsProblem>()

    /** Adds a problem at [line] of [file]. */
    public fun add(file: String, line: Int, message: String) {
        problems = problems + SettingsProblem(file, line, message)
    }

    /** Returns whether a problem was added. */
    public fun isNotEmpty(): Boolean = problems.isNotEmpty()

    /** Returns the problems in the order in which they were added. */
    public fun toList(): List<SettingsProblem> = problems

    /** Creates lists. */
    public companion object {
        /** Returns an empty list. */
        public fun create(): ProblemList = ProblemList()
    }
}
