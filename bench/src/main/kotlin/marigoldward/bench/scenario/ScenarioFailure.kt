package marigoldward.bench.scenario

/** Thrown when the step at [line] can't be parsed or executed, or when its expectation is not met. */
internal class ScenarioFailure(val line: Int, message: String) : Exception(message)
