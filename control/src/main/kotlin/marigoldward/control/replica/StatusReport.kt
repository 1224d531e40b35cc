package marigoldward.control.replica

import marigoldward.core.control.ControlState
import marigoldward.core.control.EngineCommand
import marigoldward.core.replication.ReplicaId
import marigoldward.wire.control.StatusReply

/** Builds the status that a replica reports to operators, from its own view. */
internal object StatusReport {
    fun from(view: ReplicaView, joining: List<ReplicaId>, withBundle: Boolean): StatusReply = StatusReply(
        replica = view.replica.self,
        leader = view.replica.leaderOrNull,
        term = view.replica.hardState.term,
        voters = view.replica.log.members.voters.toList(),
        learners = view.replica.log.members.learners.toList(),
        joining = joining,
        commitIndex = view.replica.commitIndex,
        logEntries = view.replica.log.size.toLong(),
        isDiskWritable = view.isDiskWritable,
        revision = view.controlState.revision,
        bundle = if (withBundle) view.controlState.bundle else null,
        leases = leases(view.controlState),
        engines = engines(view.controlState),
        subscribers = emptyList(),
        quarantined = view.controlState.quarantine.map { StatusReply.QuarantineStatus(it.key.hex, it.value) },
    )

    private fun leases(state: ControlState): List<StatusReply.LeaseStatus> =
        state.leases.map { StatusReply.LeaseStatus(it.key.text, it.value.holder, it.value.token) }

    private fun engines(state: ControlState): List<StatusReply.EngineStatus> = state.engines.map { (engine, record) ->
        StatusReply.EngineStatus(
            engine = engine.text,
            version = record.version,
            desired = record.desired?.toText(),
            openCommand = record.openIntent?.let { "${it.commandId} ${it.command.toText()}" },
            lastOutcome = record.lastOutcome?.let { "${it.commandId} ${it.result.label} ${it.detail}".trim() },
            isSetAside = record.isSetAside,
        )
    }

    private fun EngineCommand.toText(): String = when (this) {
        is EngineCommand.ChangeRole -> "change-role ${role.label}"
        is EngineCommand.LoadModel -> "load-model $model $version"
        is EngineCommand.LoadAdapter -> "load-adapter $adapter"
        EngineCommand.Drain -> "drain"
        EngineCommand.Resume -> "resume"
    }
}
