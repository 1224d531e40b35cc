package marigoldward.controller.upstream

import io.prometheus.metrics.core.metrics.Counter
import marigoldward.controller.control.LeaseKeeper
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

/** Carries the desired commands of this data centre's engines out, one step for each engine at a time. */
internal class EngineOrders(
    private val scope: LeaseScope,
    private val lease: LeaseKeeper,
    private val control: ControlClient,
    private val link: EngineLink,
) {
    /** Does the next step for each of [engines] that has one. */
    fun advance(engines: List<UpstreamInfo>, pools: List<UpstreamPool>, records: Map<UpstreamId, EngineRecord>) {
        engines.forEach { engine ->
            val record = records[engine.id] ?: return@forEach
            val pool = pools.firstOrNull { it.name == engine.pool } ?: return@forEach
            if (record.desired != null || record.openIntent != null) advance(engine, pool, record)
        }
    }

    private fun advance(engine: UpstreamInfo, pool: UpstreamPool, record: EngineRecord) {
        val held = lease.validOrNull ?: return
        if (!pool.checksFencingToken && lease.heldForMillis < QUIET_MILLIS) return
        val view = link.viewOrNull(engine.address) ?: return
        when (val step = EngineCommander.nextStep(engine.id, record, view, held.token)) {
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
        val sent = link.send(engine.address, step.intent, step.command)
        commands.labelValues(sent.name.lowercase()).inc()
        log.info("command_sent") {
            field("engine", engine.id)
            field("command", step.intent.commandId)
            field("part", step.command)
            field("token", step.intent.token)
            field("result", sent.name.lowercase())
        }
        if (sent == EngineLink.Sent.STALE_TOKEN) lease.giveUp()
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
        val reply = control.submit(command, SUBMIT_MILLIS)
        val outcome = (reply as? SubmitReply.Committed)?.outcome
        if (outcome is ControlOutcome.StaleToken) lease.giveUp()
    }

    private companion object {
        const val SUBMIT_MILLIS = 2_000L

        /** Engines that don't check tokens hear nothing until a predecessor's last command must have arrived. */
        const val QUIET_MILLIS = 2 * EngineLink.COMMAND_MILLIS
        val log = EventLog.fromName("orders")
        val commands: Counter =
            Counter
                .builder()
                .name("marigoldward_engine_commands_total")
                .help("Commands sent to engines")
                .labelNames("result")
                .register()
    }
}
