package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.core.control.ControlOutcome
import marigoldward.wire.control.SubmitReply

/** Prints [reply] as one line of key=value pairs and returns the matching exit code. */
internal fun printReply(reply: SubmitReply): ExitCode = when (reply) {
    is SubmitReply.Committed -> printOutcome(reply.outcome)
    is SubmitReply.Refused -> printFailure("result=refused reason=\"${reply.reason}\"", ExitCode.REFUSED)
    is SubmitReply.NotLeader -> printFailure("result=no_leader", ExitCode.UNREACHABLE)
    SubmitReply.Unknown ->
        printFailure("result=unknown advice=\"call again with the same operation id\"", ExitCode.UNKNOWN)
}

private fun printOutcome(outcome: ControlOutcome): ExitCode = when (outcome) {
    is ControlOutcome.ConfigurationApplied -> printSuccess("result=applied revision=${outcome.revision}")
    is ControlOutcome.DesiredSet -> printSuccess("result=accepted version=${outcome.version}")
    ControlOutcome.Done -> printSuccess("result=done")
    is ControlOutcome.RevisionConflict ->
        printFailure("result=conflict revision=${outcome.current} winner=${outcome.winner ?: "none"}", ExitCode.REFUSED)
    is ControlOutcome.VersionConflict -> printFailure("result=conflict version=${outcome.current}", ExitCode.REFUSED)
    is ControlOutcome.Rejected -> printFailure("result=rejected reason=\"${outcome.detail}\"", ExitCode.REFUSED)
    else -> printFailure("result=unexpected outcome=\"$outcome\"", ExitCode.REFUSED)
}

private fun printSuccess(line: String): ExitCode {
    println(line)
    return ExitCode.DONE
}

private fun printFailure(line: String, code: ExitCode): ExitCode {
    System.err.println(line)
    return code
}
