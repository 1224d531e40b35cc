package marigoldward.bench.capacity

import marigoldward.bench.fleet.Fleet
import marigoldward.bench.fleet.FleetLayout
import marigoldward.bench.load.Balancer
import marigoldward.bench.load.LoadRun
import marigoldward.bench.load.LoadSpec
import marigoldward.core.Outcome
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.control.ControlCommand
import marigoldward.core.control.IdempotencyKey
import marigoldward.core.control.OperationId
import marigoldward.core.getOrNull
import marigoldward.core.model.CallerId
import marigoldward.core.model.InstanceId
import marigoldward.core.model.Revision
import marigoldward.support.program.KeyFile
import marigoldward.support.settings.IniDocument
import marigoldward.support.settings.PeerSettings
import marigoldward.support.settings.ProblemList
import marigoldward.support.time.MonotonicClock
import marigoldward.wire.control.ControlClient
import marigoldward.wire.control.SubmitReply
import marigoldward.wire.rpc.ClusterIdentity
import org.HdrHistogram.ConcurrentHistogram
import java.io.File
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Measures the control instances, one entry and the idle cost of every process; prints a line per measurement. */
public fun main(arguments: Array<String>) {
    val root = File(arguments.firstOrNull() ?: ".")
    val folder = File(root, "run/capacity")
    folder.deleteRecursively()
    val fleet = Fleet.create(folder, File(root, "bin"), FleetLayout.SVETLOBA)
    Runtime.getRuntime().addShutdownHook(Thread(fleet::close))
    fleet.use { CapacityBenchmark(it, File(root, "examples/group")).run() }
}

private class CapacityBenchmark(private val fleet: Fleet, private val declarations: File) {
    private val addresses by lazy(::controlAddresses)
    private val identity by lazy { ClusterIdentity("test-cluster", KeyFile.fromSecret(fleet.clusterKey)) }
    private val client by lazy { ControlClient.to(addresses, identity) }
    private val claimCount = AtomicLong()

    fun run() {
        fleet.start()
        check(fleet.await(READY_TIMEOUT_MILLIS) { applyConfiguration(0) }) { "the first configuration was not applied" }
        check(fleet.awaitReady(READY_TIMEOUT_MILLIS)) { "the entries are not ready" }
        measureIdleProcesses()
        listOf(5, 10, 20).forEach(::measureEntryLoad)
        measureEntryOverhead()
        listOf(1, 8, 64).forEach(::measureCommits)
        listOf(100, 200, 500).forEach(::measureConfigurationChanges)
        listOf(10, 40, 60).forEach(::measureFanOut)
        measureLeaderLoss()
        measureRestart()
    }

    private fun measureIdleProcesses() {
        Thread.sleep(SETTLE_MILLIS)
        val names = fleet.controlNames + fleet.entryNames + fleet.controllerNames
        val before = names.associateWith { ProcessSample.of(checkNotNull(fleet.pidOrNull(it))) }
        Thread.sleep(IDLE_WINDOW_MILLIS)
        names.forEach { name ->
            val after = ProcessSample.of(checkNotNull(fleet.pidOrNull(name)))
            val percent = HUNDRED * (after.cpuMillis - before.getValue(name).cpuMillis) / IDLE_WINDOW_MILLIS
            println(
                "measure=idle process=$name core_percent=${"%.2f".format(percent)} " +
                    "resident_mib=${after.residentKibibytes / KIB_PER_MIB} " +
                    "peak_mib=${after.peakKibibytes / KIB_PER_MIB}",
            )
        }
    }

    /** Measures the processor time and memory of one entry under load. */
    private fun measureEntryLoad(requestsPerSecond: Int) {
        val name = fleet.entryNames.first()
        val pid = checkNotNull(fleet.pidOrNull(name))
        val before = ProcessSample.of(pid)
        val entry = Balancer.EntryAddresses(fleet.callerAddress(name), fleet.operatorAddress(name))
        val balancer = Balancer.start(listOf(entry))
        val run = LoadRun.start(loadSpec(requestsPerSecond), balancer)
        check(run.await(READY_TIMEOUT_MILLIS * 2)) { "the load has not ended" }
        balancer.close()
        val after = ProcessSample.of(pid)
        val tokens = run.results.sumOf { it.result.gapsMillis.size + 1 }
        val cpuMillis = after.cpuMillis - before.cpuMillis
        println(
            "measure=entry_load requests_per_second=$requestsPerSecond requests=${run.results.size} " +
                "right=${run.results.count { it.result.isRight }} tokens=$tokens cpu_ms=$cpuMillis " +
                "cpu_us_per_token=${MILLIS_PER_SECOND * cpuMillis / tokens} " +
                "resident_mib=${after.residentKibibytes / KIB_PER_MIB}",
        )
    }

    private fun loadSpec(requestsPerSecond: Int): LoadSpec = LoadSpec(
        model = "oblikovalec",
        className = "standard",
        caller = "capacity",
        requestsPerSecond = requestsPerSecond.toDouble(),
        requests = requestsPerSecond * ENTRY_LOAD_SECONDS,
        promptCharacters = PROMPT_CHARACTERS,
        maxTokens = MAX_TOKENS,
        sharedPrefixPercent = 0,
        marker = "plain",
        isRepeated = false,
        seed = requestsPerSecond.toLong(),
    )

    /** Measures the same completions sent directly to an engine and through an entry, one after the other. */
    private fun measureEntryOverhead() {
        val list = URI("http://${fleet.standinAddress}/v1/instances").toURL().readText()
        val engine =
            checkNotNull(Regex("oblikovalec-1.*?\"address\":\"([^\"]+)\"").find(list)) { "no engine is listed" }
        val direct = medianTiming(engine.groupValues[1])
        val throughEntry = medianTiming(fleet.callerAddress(fleet.entryNames.first()))
        println(
            "measure=overhead first_token_us_direct=${direct.firstTokenMicros} " +
                "first_token_us_entry=${throughEntry.firstTokenMicros} " +
                "total_us_direct=${direct.totalMicros} total_us_entry=${throughEntry.totalMicros} tokens=$MAX_TOKENS",
        )
    }

    private data class Timing(val firstTokenMicros: Long, val totalMicros: Long)

    private fun medianTiming(address: String): Timing {
        val body = """{"model":"oblikovalec","stream":true,"max_tokens":$MAX_TOKENS,"prompt":"a short prompt"}"""
        val timings = (1..OVERHEAD_ROUNDS).map {
            val connection = URI("http://$address/v1/completions").toURL().openConnection() as HttpURLConnection
            connection.doOutput = true
            val startNanos = System.nanoTime()
            connection.outputStream.use { it.write(body.toByteArray()) }
            connection.inputStream.use { stream ->
                stream.read()
                val firstNanos = System.nanoTime()
                stream.readAllBytes()
                Timing((firstNanos - startNanos) / NANOS_PER_MICRO, (System.nanoTime() - startNanos) / NANOS_PER_MICRO)
            }
        }
        val firstTokenMicros = timings.map { it.firstTokenMicros }.sorted()[OVERHEAD_ROUNDS / 2]
        return Timing(firstTokenMicros, timings.map { it.totalMicros }.sorted()[OVERHEAD_ROUNDS / 2])
    }

    /** Measures the rate and latency of claims that concurrent callers submit as entries do. */
    private fun measureCommits(callers: Int) {
        val latency = ConcurrentHistogram(3)
        val committed = AtomicInteger()
        val endMillis = MonotonicClock.nowMillis() + COMMIT_WINDOW_MILLIS
        val workers = Executors.newFixedThreadPool(callers)
        repeat(callers) {
            workers.execute {
                while (MonotonicClock.nowMillis() < endMillis) {
                    val startNanos = System.nanoTime()
                    if (client.submit(claim()) is SubmitReply.Committed) committed.incrementAndGet()
                    latency.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO)
                }
            }
        }
        workers.shutdown()
        workers.awaitTermination(1, TimeUnit.MINUTES)
        val perSecond = committed.get() * MILLIS_PER_SECOND / COMMIT_WINDOW_MILLIS
        println(
            "measure=commits callers=$callers per_second=$perSecond p50_us=${latency.getValueAtPercentile(50.0)} " +
                "p99_us=${latency.getValueAtPercentile(99.0)}",
        )
    }

    /** Applies configurations up to the revision [target] and measures the time and the size of the files on disk. */
    private fun measureConfigurationChanges(target: Int) {
        val startMillis = MonotonicClock.nowMillis()
        val firstRevision = revision()
        while (revision() < target) check(applyConfiguration(revision())) { "a change was not applied" }
        val tookMillis = MonotonicClock.nowMillis() - startMillis
        val folder = fleet.dataFolder(fleet.controlNames.first())
        val logBytes = File(folder, "log").length()
        val snapshotBytes = File(folder, "snapshot").length()
        println(
            "measure=changes from=$firstRevision to=$target took_ms=$tookMillis " +
                "log_bytes=$logBytes snapshot_bytes=$snapshotBytes",
        )
    }

    /** Measures how long a configuration takes to reach all subscribers of one control instance. */
    private fun measureFanOut(subscribers: Int) {
        val address = addresses.getValue(InstanceId.parse(fleet.controlNames.first()))
        Subscribers(address, identity, subscribers).use { group ->
            group.subscribe()
            checkNotNull(group.awaitOrNull(revision(), MonotonicClock.nowMillis())) {
                "not all subscribers received the configuration"
            }
            group.renewAll()
            val pid = checkNotNull(fleet.pidOrNull(fleet.controlNames.first()))
            val before = ProcessSample.of(pid)
            val millis = (1..FAN_OUT_ROUNDS).map {
                val target = revision() + 1
                val startMillis = MonotonicClock.nowMillis()
                check(applyConfiguration(target - 1)) { "a change was not applied" }
                checkNotNull(group.awaitOrNull(target, startMillis)) { "a revision did not reach all subscribers" }
            }
            val cpuMillis = (ProcessSample.of(pid).cpuMillis - before.cpuMillis).toDouble() / FAN_OUT_ROUNDS
            println(
                "measure=fan_out subscribers=$subscribers median_ms=${millis.sorted()[FAN_OUT_ROUNDS / 2]} " +
                    "worst_ms=${millis.max()} control_cpu_ms_per_change=${"%.1f".format(cpuMillis)}",
            )
        }
    }

    /** Measures the time from the kill of the leader to the next commit. */
    private fun measureLeaderLoss() {
        repeat(LEADER_LOSS_ROUNDS) {
            val leader = client.statuses(false).firstNotNullOf { it.reply.getOrNull()?.leader }.name.text
            val startMillis = MonotonicClock.nowMillis()
            fleet.kill(leader)
            check(
                fleet.await(READY_TIMEOUT_MILLIS) {
                    client.submit(claim()) is SubmitReply.Committed
                },
            ) { "no new leader was elected" }
            println("measure=leader_loss gap_ms=${MonotonicClock.nowMillis() - startMillis}")
            fleet.start(leader)
            Thread.sleep(SETTLE_MILLIS)
        }
    }

    /** Measures the time from the restart of all control instances to the first commit. */
    private fun measureRestart() {
        val revision = revision()
        fleet.controlNames.forEach(fleet::kill)
        val startMillis = MonotonicClock.nowMillis()
        fleet.controlNames.forEach(fleet::start)
        val hasLeader = fleet.await(READY_TIMEOUT_MILLIS) { client.submit(claim()) is SubmitReply.Committed }
        check(hasLeader) { "no leader was elected after the restart" }
        check(revision() == revision) { "revision $revision became ${revision()} by the restart" }
        println("measure=restart_all revision=$revision until_commit_ms=${MonotonicClock.nowMillis() - startMillis}")
    }

    private fun claim(): ControlCommand {
        val number = claimCount.incrementAndGet()
        val key = IdempotencyKey(CallerId.parse("capacity"), "key-$number")
        return ControlCommand.ClaimKey(key, "attempt-$number", "hash", System.currentTimeMillis())
    }

    private fun revision(): Long = client.statuses(false).mapNotNull { it.reply.getOrNull()?.revision?.number }.max()

    /** Applies the example configuration as the successor of the revision [expected]. */
    private fun applyConfiguration(expected: Long): Boolean {
        val overlays = listOf("svetloba", "preturi").map { sourceFile("overlays/$it.ini") }
        val bundle = ConfigurationBundle(sourceFile("base.ini"), overlays)
        val operation = OperationId.parse("capacity-$expected")
        val command = ControlCommand.ApplyConfiguration(operation, Revision.fromNumber(expected), bundle)
        return client.submit(command) is SubmitReply.Committed
    }

    private fun sourceFile(name: String): SourceFile = SourceFile(name, File(declarations, name).readText())

    private fun controlAddresses(): Map<InstanceId, InetSocketAddress> {
        val source = SourceFile("operator.ini", fleet.operatorSettings.readText())
        val document = IniDocument.parse(source) as Outcome.Success
        return PeerSettings.read(document.value.section("control", ProblemList.create()))
    }

    private companion object {
        const val READY_TIMEOUT_MILLIS = 30_000L
        const val SETTLE_MILLIS = 5_000L
        const val IDLE_WINDOW_MILLIS = 15_000L
        const val COMMIT_WINDOW_MILLIS = 5_000L
        const val ENTRY_LOAD_SECONDS = 10
        const val PROMPT_CHARACTERS = 4_000
        const val MAX_TOKENS = 100
        const val OVERHEAD_ROUNDS = 40
        const val FAN_OUT_ROUNDS = 20
        const val LEADER_LOSS_ROUNDS = 3
        const val HUNDRED = 100.0
        const val KIB_PER_MIB = 1_024
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_MICRO = 1_000
    }
}
