package marigoldward.controller.upstream

import io.prometheus.metrics.core.metrics.Counter
import marigoldward.controller.control.LeaseClient
import marigoldward.core.commanding.CommandStep
import marigoldward.core.commanding.EngineCommander
import marigoldward.core.config.UpstreamPool
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.ControlOutcome
import marigoldward.core.control.EngineRecord
import marigoldward.core.control.LeaseScope
import marigoldward.core.lease.HeldLease
import marigoldward.core.model.UpstreamId
import marigoldward.core.serving.UpstreamInfo
import marigoldward.support.log.EventLog
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.SubmitReply

/**
 * Carries out the commands that the control state desires for the engines of one data centre.
 *
 * Each call of [advance] does at most one step for an engine, as [EngineCommander] decides, and only while this
 * controller holds the lease of [scope].
 */
internal class EngineCommandRunner(
    private val scope: LeaseScope,
    private val lease: LeaseClient,
    private val control: ControlClient,
    private val engineClient: EngineControlClient,
) {
    /** Does the next step for each of [engines] that has a desired command or an open intent. */
    fun advance(engines: List<UpstreamInfo>, pools: List<UpstreamPool>, records: Map<UpstreamId, EngineRecord>) {
        engines.forEach { engine ->
            val record = records[engine.id] ?: return@forEach
            val pool = pools.firstOrNull { it.name == engine.pool } ?: return@forEach
            if (record.desired != null || record.openIntent != null) advance(engine, pool, record)
        }
    }

    private fun advance(engine: UpstreamInfo, pool: UpstreamPool, record: EngineRecord) {
        val held = lease.validOrNull ?: return
        if (!pool.checksFencingToken && lease.heldForMillis < UNFENCED_DELAY_MILLIS) return
        val state = engineClient.stateOrNull(engine.address) ?: return
        when (val step = EngineCommander.nextStep(engine.id, record, state, held.token)) {
            CommandStep.Idle, is CommandStep.Wait -> Unit
            is CommandStep.RecordIntent -> recordIntent(engine, held, step)
            is CommandStep.Send -> send(engine, step)
            is CommandStep.RecordOutcome -> recordOutcome(engine, held, step)
        }
    }

    private fun recordIntent(engine: UpstreamInfo, held: HeldLease, step: CommandStep.RecordIntent) {
        submit(ControlCommand.RecordIntent(scope, held.token, engine.id, step.commandId, step.version))
    }

    private fun send(engine: UpstreamInfo, step: CommandStep.Send) {
        val result = engineClient.send(engine.address, step.intent, step.command)
        sentCommands.labelValues(result.name.lowercase()).inc()
        log.info("command_sent") {
            field("engine", engine.id)
            field("command", step.intent.commandId)
            field("part", step.command)
            field("token", step.intent.token)
            field("result", result.name.lowercase())
        }
        if (result == EngineControlClient.SendResult.STALE_TOKEN) lease.abandon()
    }

    private fun recordOutcome(engine: UpstreamInfo, held: HeldLease, step: CommandStep.RecordOutcome) {
        submit(ControlCommand.RecordOutcome(scope, held.token, engine.id, step.outcome, step.isSetAside))
        log.info("command_ended") {
            field("engine", engine.id)
            field("command", step.outcome.commandId)
            field("result", step.outcome.result.label)
        }
    }

    private fun submit(command: ControlCommand) {
        val reply = control.submit(command, SUBMIT_TIMEOUT_MILLIS)
        val outcome = (reply as? SubmitReply.Committed)?.outcome
        if (outcome is ControlOutcome.StaleToken) lease.abandon()
    }

    private companion object {
        const val SUBMIT_TIMEOUT_MILLIS = 2_000L

        /**
         * How long a new lease holder sends no commands to engines that don't check fencing tokens.
         *
         * By then, the last command of the previous lease holder has arrived or has timed out.
         */
        const val UNFENCED_DELAY_MILLIS = 2 * EngineControlClient.COMMAND_TIMEOUT_MILLIS
        val log = EventLog.fromName("orders")
        val sentCommands: Counter =
            Counter
                .builder()
                .name("marigoldward_engine_commands_total")
                .help("Commands sent to engines")
                .labelNames("result")
                .register()
    }
}
