package marigoldward.cli.command

import marigoldward.cli.ExitCode
import marigoldward.core.Outcome
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.StatusReply
import marigoldward.wire.distribution.SubscriberReport

/** `status`: prints the control instances, members, leases, engines, quarantined requests and subscribers. */
internal object StatusCommand {
    fun run(control: ControlClient): ExitCode {
        val statuses = control.statuses(withBundle = false)
        val replies = statuses.mapNotNull { status ->
            when (val reply = status.reply) {
                is Outcome.Success -> reply.value.also { printReplica(status.name.text, it) }
                is Outcome.Failure -> {
                    println("control=${status.name} state=unreachable reason=\"${reply.error}\"")
                    null
                }
            }
        }
        val mostCurrent = replies.maxByOrNull { it.commitIndex }
        if (mostCurrent == null) {
            System.err.println("result=unreachable")
            return ExitCode.UNREACHABLE
        }
        printClusterState(mostCurrent)
        replies
            .flatMap { it.subscribers }
            .flatMap(::withDescendants)
            .sortedBy { it.subscriber.text }
            .forEach { report ->
                println(
                    "subscriber=${report.subscriber} data_centre=${report.dataCentre} " +
                        "revision=${report.appliedRevision}",
                )
            }
        return ExitCode.DONE
    }

    private fun withDescendants(report: SubscriberReport): List<SubscriberReport> =
        listOf(report) + report.downstreamReports.flatMap(::withDescendants)

    private fun printReplica(name: String, status: StatusReply) {
        val role = if (status.leader == status.replica) "leader" else "follower"
        println(
            "control=$name replica=${status.replica} role=$role leader=${status.leader ?: "none"} " +
                "term=${status.term} commit_index=${status.commitIndex} log_entries=${status.logEntries} " +
                "disk_writable=${status.isDiskWritable} revision=${status.revision}",
        )
    }

    private fun printClusterState(status: StatusReply) {
        val voters = status.voters.joinToString(",")
        val learners = status.learners.joinToString(",").ifEmpty { "none" }
        val joining = status.joining.joinToString(",").ifEmpty { "none" }
        println("members voters=$voters learners=$learners joining=$joining")
        status.leases.forEach { println("lease=${it.scope} holder=${it.holder} token=${it.token}") }
        status.engines.forEach {
            println(
                "engine=${it.engine} version=${it.version} desired=\"${it.desired ?: "none"}\" " +
                    "open=\"${it.openCommand ?: "none"}\" last=\"${it.lastOutcome ?: "none"}\" " +
                    "set_aside=${it.isSetAside}",
            )
        }
        status.quarantined.forEach { println("quarantined=${it.fingerprint} reason=\"${it.reason}\"") }
    }
}
