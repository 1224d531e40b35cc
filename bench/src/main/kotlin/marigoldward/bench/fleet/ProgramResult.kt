package marigoldward.bench.fleet

/** The exit code of a program and the text that it printed to standard output and standard error. */
public data class ProgramResult(val exitCode: Int, val output: String)
